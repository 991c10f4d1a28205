//! Answer to a commit.

use crate::ports::StoredRow;

/// Answer to a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitAnswer {
    /// Every change was stored.
    Stored {
        /// The store revision of the commit.
        revision: u64,
    },
    /// Nothing was stored, since a guard did not hold.
    Refused {
        /// The current contents of the guarded rows that exist.
        rows: Vec<StoredRow>,
    },
}
