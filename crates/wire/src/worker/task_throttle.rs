//! A request to throttle a task on a worker.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_cells::ThrottleRequest;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::TaskName;

/// Limits the CPU time of one attempt of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskThrottle {
    /// The cell that the worker belongs to.
    pub cell: CellNumber,
    /// The epoch of the owner's claim, which serves as the fencing token.
    pub epoch: CellEpoch,
    /// The name of the task.
    pub task: TaskName,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// The CPU limit, in thousandths of a core.
    pub cpu_milli: u64,
}

impl TaskThrottle {
    /// Converts a decision of the owner of `cell` to a request body.
    #[must_use]
    pub fn of(cell: CellNumber, request: &ThrottleRequest) -> Self {
        Self {
            cell,
            epoch: request.epoch,
            task: request.task.clone(),
            attempt: request.attempt,
            cpu_milli: request.cpu_milli,
        }
    }
}
