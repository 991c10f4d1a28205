//! Starts a task on a worker.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_cells::StartRequest;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskName;

/// Starts one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The cell that the worker belongs to.
    pub cell: CellNumber,
    /// The fencing token of the owner's claim.
    pub epoch: CellEpoch,
    /// The permit of the latest session report.
    pub permit: u64,
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The room that the task takes.
    pub size: ResourceSize,
    /// The run time of the whole task, in milliseconds.
    pub run_ms: u64,
    /// Work already covered by a checkpoint, in milliseconds of run time.
    pub checkpoint_ms: u64,
}

impl TaskStart {
    /// The body of `order`, by the owner of `cell`.
    #[must_use]
    pub fn of(cell: CellNumber, order: &StartRequest) -> Self {
        Self {
            cell,
            epoch: order.epoch,
            permit: order.permit,
            task: order.task.clone(),
            attempt: order.attempt,
            size: order.size,
            run_ms: order.run_ms,
            checkpoint_ms: order.checkpoint_ms,
        }
    }
}
