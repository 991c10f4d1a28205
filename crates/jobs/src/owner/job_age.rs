//! Age of a job.

use sapphirestile_core::MonoTime;

/// How long ago something happened, possibly before this machine was started, when its clock
/// had not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobAge {
    known: MonoTime,
    known_age_ms: u64,
}

impl JobAge {
    /// Creates the age of something that happened `age_ms` milliseconds before `now`.
    pub const fn new(age_ms: u64, now: MonoTime) -> Self {
        Self {
            known: now,
            known_age_ms: age_ms,
        }
    }

    /// Time at `now` since the age was taken down here, in milliseconds.
    pub const fn known_for_ms(&self, now: MonoTime) -> u64 {
        now.millis_since(self.known)
    }

    /// The age at `now`, in milliseconds.
    pub const fn millis(&self, now: MonoTime) -> u64 {
        self.known_age_ms
            .saturating_add(now.millis_since(self.known))
    }
}
