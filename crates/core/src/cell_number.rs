//! The number of a cell of workers.

use crate::counted_number::counted_number;

counted_number! {
    /// The number of a cell of workers.
    CellNumber(u16)
}
