//! Outcome of a poll.

use crate::worker::PollResponse;

/// Outcome of polling a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// The worker responded.
    Responded(PollResponse),
    /// There was no complete response.
    NoResponse,
    /// The worker has seen an owner with a higher epoch.
    Fenced,
    /// Another incarnation of the worker answered.
    OtherIncarnation,
}
