//! A request to start a task on a worker.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_cells::AttemptStart;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskName;

/// Starts one attempt of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The cell that the worker belongs to.
    pub cell: CellNumber,
    /// The epoch of the owner's claim, which serves as the fencing token.
    pub epoch: CellEpoch,
    /// The permit from the latest session report.
    pub permit: u64,
    /// The name of the task.
    pub task: TaskName,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// The resources to allocate to the task.
    pub size: ResourceSize,
    /// The run time of the complete task, in milliseconds.
    pub run_ms: u64,
    /// Work that a checkpoint already covers, in milliseconds of run time.
    pub checkpoint_ms: u64,
}

impl TaskStart {
    /// Converts a decision of the owner of `cell` to a request body.
    #[must_use]
    pub fn of(cell: CellNumber, request: &AttemptStart) -> Self {
        Self {
            cell,
            epoch: request.epoch,
            permit: request.permit,
            task: request.task.clone(),
            attempt: request.attempt,
            size: request.size,
            run_ms: request.run_ms,
            checkpoint_ms: request.checkpoint_ms,
        }
    }
}
