//! An attempt that a worker has forgotten.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;

/// An attempt that a worker does not show any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GoneAttempt {
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: AttemptNumber,
}
