//! Rows of the store at one revision.

use crate::store::StoredRow;

/// Rows in the order of their keys, as of one revision of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRange {
    /// The store's revision when the rows were read.
    pub revision: u64,
    /// The rows.
    pub rows: Vec<StoredRow>,
}
