//! The fencing token of a cell's ownership.

use crate::sequence_number::sequence_number;

sequence_number! {
    /// The fencing token of a cell's ownership: each claim of the cell has a higher one.
    CellEpoch(u64)
}
