//! Stage of a task.

use sapphirestile_core::CellNumber;
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
    /// Another cell has the task. It comes last, so that earlier rows can be read.
    Elsewhere(CellNumber),
}
