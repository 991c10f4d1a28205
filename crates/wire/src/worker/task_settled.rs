//! The acknowledgement of an ended attempt.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;

/// An ended attempt whose result is recorded, so that the worker may forget it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSettled {
    /// The name of the task.
    pub task: TaskName,
    /// The number of the ended attempt.
    pub attempt: AttemptNumber,
}
