//! Permission to start tasks of a step on a worker.

use sapphirestile_core::MonoTime;

/// A ticket that expires within this time is not used, in milliseconds: the start needs
/// time to reach the worker.
const START_MARGIN_MS: u64 = 500;

/// Permission to start all tasks of a step in one incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementTicket {
    /// Opaque text to be presented to the worker.
    pub text: Box<str>,
    /// Start of the worker incarnation that the ticket is for, in milliseconds of the Unix
    /// epoch.
    pub life_unix_ms: u64,
    /// Time from which the worker rejects the ticket.
    pub end: MonoTime,
}

impl PlacementTicket {
    /// Whether a start in this incarnation of the worker can still use the ticket.
    #[must_use]
    pub fn is_valid(&self, life_unix_ms: u64, now: MonoTime) -> bool {
        self.life_unix_ms == life_unix_ms && now.plus_millis(START_MARGIN_MS) < self.end
    }
}
