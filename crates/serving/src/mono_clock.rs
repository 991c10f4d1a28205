//! Monotonic clock of the process.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;
use sapphirestile_core::MonoTime;

/// Reads a monotonic clock as time since it was created.
///
/// The clock keeps running while the VM is suspended. With a clock that stops, a
/// process that was suspended would overestimate how long its lease or ownership
/// remains valid.
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
    origin: Duration,
}

impl MonoClock {
    /// Creates a clock whose time 0 is now.
    ///
    /// # Panics
    ///
    /// When the kernel does not support `CLOCK_BOOTTIME`.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: since_boot(),
        }
    }

    /// The current time, in milliseconds since [`start`](Self::start).
    ///
    /// # Panics
    ///
    /// When the kernel does not support `CLOCK_BOOTTIME`.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        let millis = since_boot().saturating_sub(self.origin).as_millis();
        MonoTime::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// The wall-clock time in milliseconds of the Unix epoch. It may jump, so use it
    /// for display and not for comparisons.
    #[must_use]
    pub fn unix_millis() -> u64 {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// The time since the kernel booted, including suspensions.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    time.expect("kernel does not support CLOCK_BOOTTIME").into()
}
