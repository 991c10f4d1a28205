//! A failed task attempt.

use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// A failed attempt of a task of `job` on `worker`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailureRecord {
    /// The worker that ran the attempt.
    pub worker: WorkerName,
    /// The job of the task.
    pub job: JobName,
    /// When the failure was reported.
    pub at: MonoTime,
}
