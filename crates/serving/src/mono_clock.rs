//! The monotonic clock of the process.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use sapphirestile_core::MonoTime;

/// Reads the monotonic clock as time since the start of the process.
///
/// # Examples
///
/// ```
/// use sapphirestile_serving::MonoClock;
///
/// let clock = MonoClock::start();
/// let early = clock.now();
/// assert!(clock.now() >= early);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct MonoClock {
    origin: Instant,
}

impl MonoClock {
    /// A clock that begins now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        let millis = self.origin.elapsed().as_millis();
        MonoTime::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// Milliseconds of the Unix epoch, for people to read; never compared.
    #[must_use]
    pub fn unix_millis() -> u64 {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
