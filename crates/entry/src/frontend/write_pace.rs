//! Pace of writes that anybody can cause.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sapphirestile_core::MonoTime;

/// The time between two writes, in milliseconds: that of a batch of an owner.
const INTERVAL_MS: u64 = 20;

/// The longest wait for a turn, in milliseconds.
const WAIT_MAX_MS: u64 = 500;

/// Spreads writes that a caller can cause without having a job, so that many of them leave the
/// store its time for submissions and owners.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_entry::WritePace;
///
/// let pace = WritePace::default();
/// let now = MonoTime::from_millis(1_000);
/// assert_eq!(pace.take_turn(now), Some(Duration::ZERO));
/// assert_eq!(pace.take_turn(now), Some(Duration::from_millis(20)));
/// ```
#[derive(Debug, Default)]
pub struct WritePace {
    /// When the next write may begin, in milliseconds of the monotonic clock.
    next_ms: AtomicU64,
}

impl WritePace {
    /// Takes the next turn and returns the time until it comes; `None` if that is too long.
    pub fn take_turn(&self, now: MonoTime) -> Option<Duration> {
        let now_ms = now.as_millis();
        let turn_after = |next_ms: u64| {
            let turn_ms = next_ms.max(now_ms);
            (turn_ms - now_ms <= WAIT_MAX_MS).then_some(turn_ms + INTERVAL_MS)
        };
        let taken = self
            .next_ms
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, turn_after);
        let turn_ms = taken.ok()?.max(now_ms);
        Some(Duration::from_millis(turn_ms - now_ms))
    }
}
