//! The number of an attempt to run a task.

use crate::sequence_number::sequence_number;

sequence_number! {
    /// The number of an attempt to run a task; each placement on a worker is a new
    /// attempt.
    AttemptNumber(u32)
}
