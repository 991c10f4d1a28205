//! The time of the last answer of the store.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use sapphirestile_core::MonoTime;

/// The time of the last answer of the store, set by every thread that calls it.
///
/// Before the first answer it is the zero of the daemon's clock.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_daemon::context::StoreContact;
///
/// let contact = StoreContact::default();
/// contact.record_answer(MonoTime::from_millis(500));
/// contact.record_answer(MonoTime::from_millis(200));
/// assert_eq!(contact.silent_ms(MonoTime::from_millis(800)), 300);
/// ```
#[derive(Debug, Default)]
pub struct StoreContact {
    answered_ms: AtomicU64,
}

impl StoreContact {
    /// Records an answer at `now`; one that is earlier than the latest changes nothing.
    pub fn record_answer(&self, now: MonoTime) {
        self.answered_ms
            .fetch_max(now.as_millis(), Ordering::AcqRel);
    }

    /// The time since the last answer of the store, in milliseconds.
    #[must_use]
    pub fn silent_ms(&self, now: MonoTime) -> u64 {
        let answered = MonoTime::from_millis(self.answered_ms.load(Ordering::Acquire));
        now.millis_since(answered)
    }
}
