//! When the store last answered.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use sapphirestile_core::MonoTime;

/// When the store last answered.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_daemon::context::StorePulse;
///
/// let pulse = StorePulse::default();
/// pulse.note(MonoTime::from_millis(500));
/// pulse.note(MonoTime::from_millis(200));
/// assert_eq!(pulse.silent_ms(MonoTime::from_millis(800)), 300);
/// ```
#[derive(Debug, Default)]
pub struct StorePulse {
    heard_ms: AtomicU64,
}

impl StorePulse {
    /// Takes note of an answer that came at `now`.
    pub fn note(&self, now: MonoTime) {
        self.heard_ms.fetch_max(now.as_millis(), Ordering::AcqRel);
    }

    /// How long the store has been silent, in milliseconds.
    #[must_use]
    pub fn silent_ms(&self, now: MonoTime) -> u64 {
        let heard = MonoTime::from_millis(self.heard_ms.load(Ordering::Acquire));
        now.millis_since(heard)
    }
}
