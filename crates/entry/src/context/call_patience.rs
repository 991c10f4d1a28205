//! How long to wait for an answer of the store.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The shortest timeout, in milliseconds.
const TIMEOUT_MIN_MS: u64 = 150;

/// The longest timeout, in milliseconds.
const TIMEOUT_MAX_MS: u64 = 1_000;

/// How many times the latest answer's time a timeout is.
const TIMEOUT_FACTOR: u64 = 6;

/// Sets timeouts by how long the store takes: an answer that is lost holds up
/// everything behind it, and a store that is slow must not look like one that loses
/// answers.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use sapphirestile_entry::CallPatience;
///
/// let patience = CallPatience::default();
/// assert_eq!(patience.timeout(), Duration::from_millis(150));
/// patience.note_silence();
/// assert_eq!(patience.timeout(), Duration::from_millis(300));
/// patience.note_answer(Duration::from_millis(90));
/// assert_eq!(patience.timeout(), Duration::from_millis(540));
/// ```
#[derive(Debug)]
pub struct CallPatience {
    timeout_ms: AtomicU64,
}

impl Default for CallPatience {
    fn default() -> Self {
        Self {
            timeout_ms: AtomicU64::new(TIMEOUT_MIN_MS),
        }
    }
}

impl CallPatience {
    /// The timeout of the next call.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.load(Ordering::Acquire))
    }

    /// Takes note of an answer and of how long it took.
    pub fn note_answer(&self, took: Duration) {
        let took_ms = u64::try_from(took.as_millis()).unwrap_or(TIMEOUT_MAX_MS);
        let wanted_ms = took_ms.saturating_mul(TIMEOUT_FACTOR);
        self.set(wanted_ms);
    }

    /// Takes note that there was no answer in time.
    pub fn note_silence(&self) {
        self.set(self.timeout_ms.load(Ordering::Acquire) * 2);
    }

    fn set(&self, timeout_ms: u64) {
        let timeout_ms = timeout_ms.clamp(TIMEOUT_MIN_MS, TIMEOUT_MAX_MS);
        self.timeout_ms.store(timeout_ms, Ordering::Release);
    }
}
