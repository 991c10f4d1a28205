//! State of a run on a worker.

use crate::worker::WorkerIncarnation;

/// State of a run on a worker, as far as the owner knows. `poll` is the number of the
/// owner's latest poll of that worker at the time of the change: only responses to later
/// polls are guaranteed to reflect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The assignment is not stored yet, and no start request was sent.
    Planned,
    /// The start request was sent, and its outcome is not known.
    Starting,
    /// The worker runs it; responses to polls after `poll` list it.
    Running {
        /// Number of the latest poll that had been sent when the state changed.
        poll: u64,
    },
    /// An earlier owner assigned the run, so it may be running.
    Inherited,
    /// The run is to be stopped, and the worker has not accepted a stop request.
    StopPending,
    /// The worker has accepted the stop request. A response of the same incarnation to a poll
    /// after `poll` that does not list the run proves that it has ended.
    Stopping {
        /// Number of the latest poll that had been sent when the state changed.
        poll: u64,
        /// Incarnation that has accepted the request.
        incarnation: WorkerIncarnation,
    },
}
