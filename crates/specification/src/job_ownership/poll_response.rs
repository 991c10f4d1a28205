//! Response of a worker to a poll.

use crate::job_ownership::ended_runs::EndedRuns;

/// Response of a worker to a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PollResponse {
    /// Number of the run in progress.
    pub running: Option<u8>,
    /// Runs that have ended on the worker.
    pub ends: EndedRuns,
    /// Reading of the worker's clock, in ticks.
    pub clock: u8,
    /// Whether the worker rejected the poll because it has seen a higher epoch. The owner
    /// ignores the other fields then.
    pub is_fenced: bool,
}
