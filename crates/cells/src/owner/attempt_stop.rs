//! Requests to stop attempts.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// A request to stop an attempt. It needs no commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptStop {
    /// The worker to call.
    pub worker: WorkerName,
    /// Epoch of the owner, the fencing token.
    pub epoch: CellEpoch,
    /// The task of the attempt.
    pub task: TaskName,
    /// The attempt to stop; not always the task's current one.
    pub attempt: AttemptNumber,
    /// Whether to take a checkpoint first.
    pub checkpoint: bool,
}
