//! A limit on how often a repeated fault is logged.

use std::sync::Mutex;
use std::sync::PoisonError;

use sapphirestile_core::MonoTime;

const INTERVAL_MS: u64 = 10_000;

/// Limits the log lines of one repeated message, so that a lasting fault does not flood
/// the log.
///
/// The first line is allowed at once, and then one every 10 seconds with the number of
/// lines that were suppressed in between.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_daemon::context::RepeatLimiter;
///
/// let limiter = RepeatLimiter::default();
/// assert_eq!(limiter.try_acquire(MonoTime::from_millis(0)), Some(0));
/// assert_eq!(limiter.try_acquire(MonoTime::from_millis(50)), None);
/// assert_eq!(limiter.try_acquire(MonoTime::from_millis(60)), None);
/// assert_eq!(limiter.try_acquire(MonoTime::from_millis(10_000)), Some(2));
/// ```
#[derive(Debug, Default)]
pub struct RepeatLimiter {
    /// When a line was last allowed, and how many were suppressed since; `None` before
    /// the first.
    last_allowed: Mutex<Option<(MonoTime, u64)>>,
}

impl RepeatLimiter {
    /// Returns the number of lines suppressed since the last one when a line may be
    /// written now, and otherwise counts it as suppressed and returns `None`.
    #[must_use]
    pub fn try_acquire(&self, now: MonoTime) -> Option<u64> {
        let mut last_allowed = self
            .last_allowed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match &mut *last_allowed {
            Some((last, suppressed)) if now.millis_since(*last) < INTERVAL_MS => {
                *suppressed += 1;
                None
            }
            Some((_, suppressed)) => {
                let count = *suppressed;
                *last_allowed = Some((now, 0));
                Some(count)
            }
            None => {
                *last_allowed = Some((now, 0));
                Some(0)
            }
        }
    }
}
