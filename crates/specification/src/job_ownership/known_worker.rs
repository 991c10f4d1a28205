//! What an owner knows of a worker.

use crate::job_ownership::job_bounds::LEASE_MAX_TICKS;

/// What an owner knows of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KnownWorker {
    /// Whether it has answered this owner.
    pub is_heard: bool,
    /// Whether the latest look had no answer.
    pub is_silent: bool,
    /// How far the estimate of its clock is behind, in ticks.
    pub clock_lag: u8,
    /// The latest lease that it may have been given.
    pub lease_end: u8,
    /// The latest end that was taken in.
    pub ends_taken: u8,
    /// The latest end whose consequence is stored.
    pub ends_stored: u8,
    /// The latest end that it was told to forget.
    pub ends_told: u8,
}

impl KnownWorker {
    /// Takes in what its clock showed, in an answer that came at `now`. Whatever an
    /// earlier owner gave ends within the longest lease: the answer fences it.
    pub(crate) fn hear_clock(&mut self, clock: u8, now: u8) {
        if !self.is_heard {
            self.lease_end = clock + LEASE_MAX_TICKS;
        }
        self.is_heard = true;
        self.is_silent = false;
        self.clock_lag = now - clock;
    }
}
