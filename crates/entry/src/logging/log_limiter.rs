//! Rate limit of log lines.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use sapphirestile_core::MonoTime;

const MS_PER_S: u64 = 1_000;

/// The number of bits for the line count; the bits above hold the second.
const COUNT_BITS: u32 = 20;

/// Limits the number of log lines in each second.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_entry::LogLimiter;
///
/// let limiter = LogLimiter::new(2);
/// let early = MonoTime::from_millis(100);
/// assert!(limiter.try_acquire(early) && limiter.try_acquire(early));
/// assert!(!limiter.try_acquire(early));
/// assert!(limiter.try_acquire(MonoTime::from_millis(1_100)));
/// ```
#[derive(Debug)]
pub struct LogLimiter {
    lines_per_s: u64,
    /// The current second and the number of lines accepted in it.
    state: AtomicU64,
}

impl LogLimiter {
    /// Creates a limiter of `lines_per_s` lines per second.
    #[must_use]
    pub const fn new(lines_per_s: u64) -> Self {
        Self {
            lines_per_s,
            state: AtomicU64::new(0),
        }
    }

    /// Accepts one line at `now` unless the limit of this second is reached. Returns
    /// whether the line was accepted.
    pub fn try_acquire(&self, now: MonoTime) -> bool {
        let second = now.as_millis() / MS_PER_S;
        let counted = |state: u64| {
            if state >> COUNT_BITS == second {
                state + 1
            } else {
                (second << COUNT_BITS) + 1
            }
        };
        let update = self
            .state
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |state| {
                let next = counted(state);
                let count = next & ((1 << COUNT_BITS) - 1);
                (count <= self.lines_per_s).then_some(next)
            });
        update.is_ok()
    }
}
