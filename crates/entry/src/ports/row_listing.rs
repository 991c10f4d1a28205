//! Listing of the rows with a common prefix.

use crate::ports::StoredRow;

/// The rows whose keys begin with a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowListing {
    /// The rows in the order of their keys.
    pub rows: Vec<StoredRow>,
    /// The revision after which to watch for changes.
    pub revision: u64,
}
