//! Adaptive timeout of calls to the store.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The lower bound of the timeout, in milliseconds.
const TIMEOUT_MIN_MS: u64 = 150;

/// The upper bound of the timeout, in milliseconds.
const TIMEOUT_MAX_MS: u64 = 1_000;

/// The ratio of the timeout to the duration of the latest answered call.
const TIMEOUT_FACTOR: u64 = 6;

/// Derives the timeout of a store call from the duration of the latest answered call
/// and doubles it after each timeout.
///
/// A call whose answer is lost blocks every call queued behind it, so the timeout has
/// to be short; a store that is merely slow must not look like one that loses answers,
/// so the timeout has to grow with its latency.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use sapphirestile_entry::StoreTimeout;
///
/// let store_timeout = StoreTimeout::default();
/// assert_eq!(store_timeout.timeout(), Duration::from_millis(150));
/// store_timeout.record_timeout();
/// assert_eq!(store_timeout.timeout(), Duration::from_millis(300));
/// store_timeout.record_answer(Duration::from_millis(90));
/// assert_eq!(store_timeout.timeout(), Duration::from_millis(540));
/// ```
#[derive(Debug)]
pub struct StoreTimeout {
    timeout_ms: AtomicU64,
}

impl Default for StoreTimeout {
    fn default() -> Self {
        Self {
            timeout_ms: AtomicU64::new(TIMEOUT_MIN_MS),
        }
    }
}

impl StoreTimeout {
    /// The timeout to use for the next call.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.load(Ordering::Acquire))
    }

    /// Records an answered call that took `took`.
    pub fn record_answer(&self, took: Duration) {
        let took_ms = u64::try_from(took.as_millis()).unwrap_or(TIMEOUT_MAX_MS);
        let timeout_ms = took_ms.saturating_mul(TIMEOUT_FACTOR);
        self.set(timeout_ms);
    }

    /// Records a call that timed out: doubles the timeout up to its upper bound.
    pub fn record_timeout(&self) {
        self.set(self.timeout_ms.load(Ordering::Acquire) * 2);
    }

    fn set(&self, timeout_ms: u64) {
        let timeout_ms = timeout_ms.clamp(TIMEOUT_MIN_MS, TIMEOUT_MAX_MS);
        self.timeout_ms.store(timeout_ms, Ordering::Release);
    }
}
