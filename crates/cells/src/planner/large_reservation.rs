//! Reservations of workers for large tasks.

use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// A worker that is reserved for a job with large tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LargeReservation {
    /// The reserved worker.
    pub worker: WorkerName,
    /// The job that it is reserved for.
    pub job: JobName,
    /// When the reservation ends unless it is extended.
    pub until: MonoTime,
}
