//! The phase of a task that may run on a worker.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::WorkerName;

/// The task may run on this worker and nowhere else.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedPhase {
    /// The current attempt.
    pub attempt: AttemptNumber,
    /// The worker.
    pub worker: WorkerName,
    /// The room that it is given there.
    pub size: ResourceSize,
    /// Work covered by the latest checkpoint, in milliseconds of run time.
    pub checkpoint_ms: u64,
    /// How many earlier attempts ended by an error of their own.
    pub failures: u32,
}
