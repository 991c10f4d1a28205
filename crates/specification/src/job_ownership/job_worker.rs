//! State of a worker.

use crate::job_ownership::ended_runs::EndedRuns;
use crate::job_ownership::worker_process::WorkerProcess;

/// State of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobWorker {
    /// The process at its address.
    pub process: WorkerProcess,
    /// True time at which the process started, from which its clock counts.
    pub started_at: u8,
    /// Highest epoch that it has seen; orders with a lower one are rejected.
    pub epoch: u8,
    /// Number of the run in progress.
    pub running: Option<u8>,
    /// End of the lease of its runs, on its clock.
    pub lease_end: u8,
    /// Runs up to this number never start on this worker.
    pub refused_up_to: u8,
    /// Runs that have ended on this worker.
    pub ends: EndedRuns,
}

impl JobWorker {
    /// Reading of its clock at the true time `now`, in ticks.
    pub(crate) const fn clock(&self, now: u8) -> u8 {
        now - self.started_at
    }
}
