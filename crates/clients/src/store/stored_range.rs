//! The result of a read.

use crate::store::StoredRow;

/// A consistent snapshot of rows, ordered by key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRange {
    /// The store's revision when the rows were read.
    pub revision: u64,
    /// The rows in the range.
    pub rows: Vec<StoredRow>,
}
