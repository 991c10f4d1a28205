//! Rows of a prefix.

use crate::ports::StoredRow;

/// The rows of a prefix, and the revision from which to watch for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowListing {
    /// The rows, in the order of their keys.
    pub rows: Vec<StoredRow>,
    /// The revision.
    pub revision: u64,
}
