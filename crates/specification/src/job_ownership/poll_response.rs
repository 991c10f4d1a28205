//! Response of a worker to a poll.

use crate::job_ownership::ended_runs::EndedRuns;
use crate::job_ownership::order_outcome::OrderOutcome;
use crate::job_ownership::worker_process::WorkerProcess;

/// Response of a worker to a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PollResponse {
    /// Number of the run in progress.
    pub running: Option<u8>,
    /// Runs that have ended on the worker.
    pub ends: EndedRuns,
    /// Reading of the worker's clock, in ticks.
    pub clock: u8,
    /// The process that responded.
    pub process: WorkerProcess,
    /// The outcome of the poll. If it was rejected, the owner ignores the other fields.
    pub outcome: OrderOutcome,
}
