//! When the store last answered.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use sapphirestile_core::MonoTime;

/// When the store last answered a call that had been sent at that time.
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
    /// Takes note of an answer to a call sent at `asked`.
    pub fn note(&self, asked: MonoTime) {
        self.heard_ms.fetch_max(asked.as_millis(), Ordering::AcqRel);
    }

    /// How long the store has been silent, in milliseconds.
    #[must_use]
    pub fn silent_ms(&self, now: MonoTime) -> u64 {
        let heard = MonoTime::from_millis(self.heard_ms.load(Ordering::Acquire));
        now.millis_since(heard)
    }
}
