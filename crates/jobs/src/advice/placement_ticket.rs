//! Leave to start tasks of a step at a worker.

use sapphirestile_core::MonoTime;

/// How long before its end a ticket is not used any more, in milliseconds: a start
/// takes some time to arrive.
const MARGIN_MS: u64 = 500;

/// Leave to start all tasks of a step at one life of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementTicket {
    /// What the worker has to be shown.
    pub text: Box<str>,
    /// The life of the worker that was asked about, in milliseconds of the Unix epoch.
    pub life_unix_ms: u64,
    /// When the worker takes it no more.
    pub end: MonoTime,
}

impl PlacementTicket {
    /// Whether a start in a worker's life can still use it.
    #[must_use]
    pub fn is_good(&self, life_unix_ms: u64, now: MonoTime) -> bool {
        self.life_unix_ms == life_unix_ms && now.plus_millis(MARGIN_MS) < self.end
    }
}
