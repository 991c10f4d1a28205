//! Change of a row.

use crate::ports::StoredRow;

/// Change of a row in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowChange {
    /// The row was created or overwritten.
    Written(StoredRow),
    /// The row with this key was removed.
    Removed(String),
}
