//! Stops a task on a worker.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_cells::StopRequest;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::TaskName;

/// Stops one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStop {
    /// The cell that the worker belongs to.
    pub cell: CellNumber,
    /// The fencing token of the owner's claim.
    pub epoch: CellEpoch,
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Whether to take a checkpoint first.
    pub checkpoint: bool,
}

impl TaskStop {
    /// The body of `order`, by the owner of `cell`.
    #[must_use]
    pub fn of(cell: CellNumber, order: &StopRequest) -> Self {
        Self {
            cell,
            epoch: order.epoch,
            task: order.task.clone(),
            attempt: order.attempt,
            checkpoint: order.checkpoint,
        }
    }
}
