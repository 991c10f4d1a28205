//! A change of a row.

use crate::ports::StoredRow;

/// A change of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowChange {
    /// The row was written.
    Written(StoredRow),
    /// The row of this key was removed.
    Removed(String),
}
