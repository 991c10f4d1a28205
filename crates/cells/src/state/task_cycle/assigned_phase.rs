//! Phase of a task that is assigned to a worker.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::WorkerName;

/// The task may run on its worker and nowhere else.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedPhase {
    /// The current attempt.
    pub attempt: AttemptNumber,
    /// The only worker that may run the attempt.
    pub worker: WorkerName,
    /// The resources allocated to it on the worker.
    pub size: ResourceSize,
    /// Work covered by the latest checkpoint, in milliseconds of run time.
    pub checkpoint_ms: u64,
    /// Number of earlier attempts that failed on their own.
    pub failures: u32,
}
