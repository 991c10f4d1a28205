//! The monotonic clock of a stand-in.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use sapphirestile_core::MonoTime;

/// A monotonic clock that also knows the Unix time of its origin, so that the histories of
/// stand-ins on one machine can be compared.
#[derive(Clone, Copy, Debug)]
pub struct StandinClock {
    origin: Instant,
    origin_unix_ms: u64,
}

impl StandinClock {
    /// Creates a clock whose origin is the current time.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_standins::clock::StandinClock;
    ///
    /// let clock = StandinClock::start();
    /// let early = clock.now();
    /// assert!(clock.now() >= early);
    /// ```
    #[must_use]
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            origin: Instant::now(),
            origin_unix_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// The monotonic time since the origin, in whole milliseconds.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        let elapsed = self.origin.elapsed().as_millis();
        MonoTime::from_millis(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// The Unix time of the origin, in milliseconds since 1970; 0 when the system clock is
    /// set to an earlier time.
    #[must_use]
    pub const fn origin_unix_ms(&self) -> u64 {
        self.origin_unix_ms
    }
}
