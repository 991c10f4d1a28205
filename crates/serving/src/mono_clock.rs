//! The monotonic clock of the process.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;
use sapphirestile_core::MonoTime;

/// Reads a monotonic clock as time since the start of the process.
///
/// The clock goes on while the VM is suspended. One that stood still would have a
/// process that was suspended believe that a lease or its ownership lasts longer
/// than it does.
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
    /// A clock that begins now.
    ///
    /// # Panics
    ///
    /// When the kernel does not keep the time since its boot.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: since_boot(),
        }
    }

    /// The time now, in milliseconds since [`start`](Self::start).
    ///
    /// # Panics
    ///
    /// When the kernel does not keep the time since its boot.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        let millis = since_boot().saturating_sub(self.origin).as_millis();
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

/// The time since the kernel booted, suspensions included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    time.expect("the kernel keeps the time since its boot")
        .into()
}
