//! Stage of a task.

use serde::Deserialize;
use serde::Serialize;

use crate::progress::Assignment;

/// Stage of a task in its life cycle.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStage {
    /// The task runs nowhere and can be assigned.
    #[default]
    Waiting,
    /// The task may be running on a worker.
    Assigned(Assignment),
    /// The task is done and is not run again.
    Done,
}
