//! Throttles a task on a worker.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_cells::ThrottleRequest;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::TaskName;

/// Limits the processor time of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskThrottle {
    /// The cell that the worker belongs to.
    pub cell: CellNumber,
    /// The fencing token of the owner's claim.
    pub epoch: CellEpoch,
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The most processor time, in thousandths of a core.
    pub cpu_milli: u64,
}

impl TaskThrottle {
    /// The body of `order`, by the owner of `cell`.
    #[must_use]
    pub fn of(cell: CellNumber, order: &ThrottleRequest) -> Self {
        Self {
            cell,
            epoch: order.epoch,
            task: order.task.clone(),
            attempt: order.attempt,
            cpu_milli: order.cpu_milli,
        }
    }
}
