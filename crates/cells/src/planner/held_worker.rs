//! A worker that is held for a large task.

use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// Which worker is held for whom, and how long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldWorker {
    /// The worker.
    pub worker: WorkerName,
    /// The job.
    pub job: JobName,
    /// When the hold ends.
    pub until: MonoTime,
}
