//! Attempts that a worker no longer reports.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;

/// An attempt that a worker no longer reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GoneAttempt {
    /// The task of the attempt.
    pub task: TaskName,
    /// The attempt that is no longer on the worker.
    pub attempt: AttemptNumber,
}
