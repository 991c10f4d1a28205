//! An ended task whose report was recorded.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;

/// An ended attempt that the worker may forget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSettled {
    /// The task.
    pub task: TaskName,
    /// The attempt that ended.
    pub attempt: AttemptNumber,
}
