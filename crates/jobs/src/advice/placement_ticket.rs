//! Permission to start tasks of a step on a worker.

use sapphirestile_core::MonoTime;

use crate::worker::WorkerIncarnation;

/// A ticket that expires within this time is not used, in milliseconds: the start needs
/// time to reach the worker.
const START_MARGIN_MS: u64 = 500;

/// Permission to start all tasks of a step in one incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementTicket {
    /// Opaque text to be presented to the worker.
    pub text: Box<str>,
    /// Incarnation of the worker that the ticket is for.
    pub incarnation: WorkerIncarnation,
    /// Time from which the worker rejects the ticket.
    pub end: MonoTime,
}

impl PlacementTicket {
    /// Whether a start in this incarnation of the worker can still use the ticket.
    #[must_use]
    pub fn is_valid(&self, incarnation: WorkerIncarnation, now: MonoTime) -> bool {
        self.incarnation == incarnation && now.plus_millis(START_MARGIN_MS) < self.end
    }
}
