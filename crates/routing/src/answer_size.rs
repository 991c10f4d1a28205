//! The recent size of a service's answers.

use crate::sync::AtomicU64;
use crate::sync::Ordering;

const SMOOTHING_DIVISOR: u64 = 8;

/// An exponentially weighted moving average of the size of a service's answers.
///
/// # Examples
///
/// ```
/// use sapphirestile_routing::AnswerSize;
///
/// let size = AnswerSize::default();
/// size.observe(8_000);
/// assert_eq!(size.bytes(), 8_000);
/// size.observe(0);
/// assert_eq!(size.bytes(), 7_000);
/// ```
#[derive(Debug, Default)]
pub struct AnswerSize {
    /// In bytes; zero until the first answer.
    average_bytes: AtomicU64,
}

impl AnswerSize {
    /// Records an answer of `bytes` bytes.
    pub fn observe(&self, bytes: u64) {
        let updated = |average: u64| {
            if average == 0 {
                return Some(bytes);
            }
            let step = average.abs_diff(bytes) / SMOOTHING_DIVISOR;
            Some(if bytes > average {
                average + step
            } else {
                average - step
            })
        };
        let _ = self
            .average_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, updated);
    }

    /// The expected size of the next answer, in bytes; zero before the first answer.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.average_bytes.load(Ordering::Relaxed)
    }
}
