//! A request to stop a task on a worker.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_cells::AttemptStop;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::TaskName;

/// Stops one attempt of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStop {
    /// The cell that the worker belongs to.
    pub cell: CellNumber,
    /// The epoch of the owner's claim, which serves as the fencing token.
    pub epoch: CellEpoch,
    /// The name of the task.
    pub task: TaskName,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// Whether to take a checkpoint before stopping.
    pub checkpoint: bool,
}

impl TaskStop {
    /// Converts a decision of the owner of `cell` to a request body.
    #[must_use]
    pub fn of(cell: CellNumber, request: &AttemptStop) -> Self {
        Self {
            cell,
            epoch: request.epoch,
            task: request.task.clone(),
            attempt: request.attempt,
            checkpoint: request.checkpoint,
        }
    }
}
