//! What becomes of a run that disturbs another.

use crate::order::TaskAddress;

/// What becomes of a run that uses leftover processor time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceStep {
    /// It works at another pace.
    Pace {
        /// The task.
        task: TaskAddress,
        /// The pace, in percent.
        percent: u32,
    },
    /// It is stopped, to go on elsewhere.
    Move(TaskAddress),
}
