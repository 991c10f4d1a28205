//! One failed attempt.

use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// A failure of a task of `job` on `worker`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailureNote {
    /// The worker.
    pub worker: WorkerName,
    /// The job.
    pub job: JobName,
    /// When it was learnt of.
    pub at: MonoTime,
}
