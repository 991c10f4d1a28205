//! Requests to start attempts.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// A request to start an attempt whose assignment is in the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptStart {
    /// The worker to call.
    pub worker: WorkerName,
    /// Epoch of the owner, the fencing token.
    pub epoch: CellEpoch,
    /// The worker's permit, obtained before the assignment was committed.
    pub permit: u64,
    /// The task to run.
    pub task: TaskName,
    /// Number of the new attempt.
    pub attempt: AttemptNumber,
    /// The resources allocated to it on the worker.
    pub size: ResourceSize,
    /// The run time of the whole task, in milliseconds.
    pub run_ms: u64,
    /// Work already covered by a checkpoint, in milliseconds of run time.
    pub checkpoint_ms: u64,
}
