//! Silence of a worker.

use sapphirestile_core::MonoTime;

/// Silence of a worker that did not respond to the latest poll with an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerSilence {
    /// When that poll was sent; the default if that is not known.
    pub poll_sent: MonoTime,
    /// Whether another incarnation answered the poll.
    pub is_replaced: bool,
    /// Whether the silence was reported as a decision.
    pub is_reported: bool,
}
