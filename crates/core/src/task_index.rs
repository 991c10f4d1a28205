//! The index of a task within its job.

use crate::sequence_number::sequence_number;

sequence_number! {
    /// The index of a task within its job; the first task has 0.
    TaskIndex(u32)
}
