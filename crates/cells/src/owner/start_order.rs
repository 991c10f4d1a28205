//! An attempt to start.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// Starts an attempt whose assignment is in the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The worker.
    pub worker: WorkerName,
    /// The fencing token.
    pub epoch: CellEpoch,
    /// The worker's permit, taken before the assignment was committed.
    pub permit: u64,
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The room that it takes.
    pub size: ResourceSize,
    /// The run time of the whole task, in milliseconds.
    pub run_ms: u64,
    /// Work already covered by a checkpoint, in milliseconds of run time.
    pub checkpoint_ms: u64,
}
