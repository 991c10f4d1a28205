//! How large the answers of a service were lately.

use crate::sync::AtomicU64;
use crate::sync::Ordering;

const SMOOTHING_DIVISOR: u64 = 8;

/// The size of a service's answers, smoothed over the latest ones.
///
/// # Examples
///
/// ```
/// use sapphirestile_routing::AnswerEstimate;
///
/// let estimate = AnswerEstimate::default();
/// estimate.observe(8_000);
/// assert_eq!(estimate.bytes(), 8_000);
/// estimate.observe(0);
/// assert_eq!(estimate.bytes(), 7_000);
/// ```
#[derive(Debug, Default)]
pub struct AnswerEstimate {
    /// Zero until the first answer.
    smoothed: AtomicU64,
}

impl AnswerEstimate {
    /// Notes an answer of `bytes`.
    pub fn observe(&self, bytes: u64) {
        let moved = |smoothed: u64| {
            if smoothed == 0 {
                return Some(bytes);
            }
            let step = smoothed.abs_diff(bytes) / SMOOTHING_DIVISOR;
            Some(if bytes > smoothed {
                smoothed + step
            } else {
                smoothed - step
            })
        };
        let _ = self
            .smoothed
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, moved);
    }

    /// The size to expect of the next answer; zero before the first.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.smoothed.load(Ordering::Relaxed)
    }
}
