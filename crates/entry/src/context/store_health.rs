//! Tracks for how long calls to the store have failed.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use sapphirestile_core::MonoTime;

/// Tracks for how long calls to the store have failed without an answer in between.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_entry::StoreHealth;
///
/// let store_health = StoreHealth::default();
/// store_health.record_failure(MonoTime::from_millis(1_000));
/// store_health.record_failure(MonoTime::from_millis(1_700));
/// assert_eq!(store_health.failing_ms(MonoTime::from_millis(2_000)), 1_000);
/// store_health.record_success();
/// assert_eq!(store_health.failing_ms(MonoTime::from_millis(2_100)), 0);
/// ```
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// Time of the first failed call since the latest answer, in milliseconds; 0 when
    /// no call has failed since then.
    failed_since_ms: AtomicU64,
}

impl StoreHealth {
    /// Records an answered call. Returns whether calls had failed before.
    pub fn record_success(&self) -> bool {
        self.failed_since_ms.swap(0, Ordering::AcqRel) != 0
    }

    /// Records a failed call. Returns whether it is the first since the latest answer.
    pub fn record_failure(&self, now: MonoTime) -> bool {
        let now_ms = now.as_millis().max(1);
        self.failed_since_ms
            .compare_exchange(0, now_ms, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }

    /// The time since the first failed call, in milliseconds; 0 when the latest call
    /// was answered.
    #[must_use]
    pub fn failing_ms(&self, now: MonoTime) -> u64 {
        match self.failed_since_ms.load(Ordering::Acquire) {
            0 => 0,
            since => now.millis_since(MonoTime::from_millis(since)),
        }
    }
}
