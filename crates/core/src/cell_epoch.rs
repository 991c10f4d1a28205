//! The fencing token of one claim of a cell.

use crate::counted_number::counted_number;

counted_number! {
    /// The fencing token of one claim of a cell.
    CellEpoch(u64)
}
