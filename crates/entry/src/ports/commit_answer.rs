//! What the store said to a commit.

use crate::ports::StoredRow;

/// What the store said to a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitAnswer {
    /// Everything was stored at a revision.
    Stored {
        /// The revision.
        revision: u64,
    },
    /// Nothing was stored: a guard did not hold.
    Refused {
        /// The guarded rows that exist, as they are.
        rows: Vec<StoredRow>,
    },
}
