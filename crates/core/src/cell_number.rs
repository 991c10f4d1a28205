//! The number of a cell.

use crate::sequence_number::sequence_number;

sequence_number! {
    /// The number of a cell, a partition of workers and jobs with one owning daemon.
    CellNumber(u16)
}
