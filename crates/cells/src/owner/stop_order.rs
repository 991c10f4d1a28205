//! An attempt to stop.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// Stops an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The worker.
    pub worker: WorkerName,
    /// The fencing token.
    pub epoch: CellEpoch,
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Whether to take a checkpoint first.
    pub checkpoint: bool,
}
