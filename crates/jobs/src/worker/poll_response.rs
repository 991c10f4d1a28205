//! Response of a worker to a poll.

use crate::worker::EndList;
use crate::worker::RunningRun;
use crate::worker::WorkerIncarnation;

/// Response of a worker to a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollResponse {
    /// Reading of the worker's monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// Incarnation of the worker that responded.
    pub incarnation: WorkerIncarnation,
    /// Runs in progress.
    pub running: Vec<RunningRun>,
    /// Runs that have ended and are not acknowledged yet.
    pub ended: EndList,
}
