//! Whether the store answers.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use sapphirestile_core::MonoTime;

/// Notes when the store answered and since when it does not.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_entry::StorePulse;
///
/// let pulse = StorePulse::default();
/// pulse.note_failure(MonoTime::from_millis(1_000));
/// pulse.note_failure(MonoTime::from_millis(1_700));
/// assert_eq!(pulse.failing_ms(MonoTime::from_millis(2_000)), 1_000);
/// pulse.note_answer();
/// assert_eq!(pulse.failing_ms(MonoTime::from_millis(2_100)), 0);
/// ```
#[derive(Debug, Default)]
pub struct StorePulse {
    /// When the first call after the latest answer failed; 0 when none did.
    failing_since: AtomicU64,
}

impl StorePulse {
    /// Takes note of an answer. Returns whether the store had failed before.
    pub fn note_answer(&self) -> bool {
        self.failing_since.swap(0, Ordering::AcqRel) != 0
    }

    /// Takes note of a call without a result. Returns whether it is the first.
    pub fn note_failure(&self, now: MonoTime) -> bool {
        let now_ms = now.as_millis().max(1);
        self.failing_since
            .compare_exchange(0, now_ms, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }

    /// For how long the store has failed, in milliseconds.
    #[must_use]
    pub fn failing_ms(&self, now: MonoTime) -> u64 {
        match self.failing_since.load(Ordering::Acquire) {
            0 => 0,
            since => now.millis_since(MonoTime::from_millis(since)),
        }
    }
}
