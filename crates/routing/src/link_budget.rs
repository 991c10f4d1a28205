//! Which requests may use the link between regions now.

use sapphirestile_core::MonoTime;

use crate::RequestPriority;
use crate::sync::AtomicU64;
use crate::sync::Ordering;

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
const BITS_PER_BYTE: u64 = 8;
const INTERACTIVE_BACKLOG_US: u64 = 200_000;
const STANDARD_BACKLOG_US: u64 = 50_000;
const BULK_BACKLOG_US: u64 = 10_000;

/// One daemon's share of the link between regions, in one direction.
///
/// The bytes let through are counted as a backlog that the link works off at its
/// rate. The less important a request, the shorter the backlog it may join, so
/// that bulk work leaves room for callers who wait.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_routing::LinkBudget;
/// use sapphirestile_routing::RequestPriority;
///
/// let budget = LinkBudget::new(4_000_000);
/// let now = MonoTime::from_millis(0);
/// // 40,000 bytes keep a link of 4 Mbit/s busy for 80 ms.
/// assert!(!budget.admit(40_000, RequestPriority::Bulk, now));
/// assert!(budget.admit(40_000, RequestPriority::Interactive, now));
/// ```
#[derive(Debug)]
pub struct LinkBudget {
    bits_per_second: u64,
    /// When the link will have worked off its backlog, in microseconds.
    idle_at_us: AtomicU64,
}

impl LinkBudget {
    /// A share of `bits_per_second` bits a second, at least one.
    #[must_use]
    pub fn new(bits_per_second: u64) -> Self {
        Self {
            bits_per_second: bits_per_second.max(1),
            idle_at_us: AtomicU64::new(0),
        }
    }

    /// Counts `bytes` in; false, and nothing is counted, when a request of this
    /// priority would join too long a backlog.
    #[must_use]
    pub fn admit(&self, bytes: u64, priority: RequestPriority, now: MonoTime) -> bool {
        let now_us = micros_of(now);
        let latest_us = now_us.saturating_add(backlog_us(priority));
        let cost_us = self.cost_us(bytes);
        self.join(now_us, cost_us, |_, after_us| after_us <= latest_us)
    }

    /// Counts an answer in that is expected to have `bytes`; false, and nothing is
    /// counted, when it would join too long a backlog. An idle link takes an answer
    /// of any size: it could never be had otherwise.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::MonoTime;
    /// use sapphirestile_routing::LinkBudget;
    /// use sapphirestile_routing::RequestPriority;
    ///
    /// let budget = LinkBudget::new(4_000_000);
    /// let now = MonoTime::from_millis(0);
    /// assert!(budget.admit_answer(40_000, RequestPriority::Bulk, now));
    /// assert!(!budget.admit_answer(1, RequestPriority::Bulk, now));
    /// ```
    #[must_use]
    pub fn admit_answer(&self, bytes: u64, priority: RequestPriority, now: MonoTime) -> bool {
        let now_us = micros_of(now);
        let latest_us = now_us.saturating_add(backlog_us(priority));
        let cost_us = self.cost_us(bytes);
        self.join(now_us, cost_us, |before_us, after_us| {
            before_us <= now_us || after_us <= latest_us
        })
    }

    /// Replaces the `expected` bytes of an answer that was counted in by those that
    /// came.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::MonoTime;
    /// use sapphirestile_routing::LinkBudget;
    /// use sapphirestile_routing::RequestPriority;
    ///
    /// let budget = LinkBudget::new(4_000_000);
    /// let now = MonoTime::from_millis(0);
    /// assert!(budget.admit_answer(1_000, RequestPriority::Interactive, now));
    /// budget.settle(1_000, 500_000, now);
    /// // The link is busy for a second with what came.
    /// assert!(!budget.admit(1_000, RequestPriority::Interactive, now));
    /// ```
    pub fn settle(&self, expected: u64, actual: u64, now: MonoTime) {
        let (expected_us, actual_us) = (self.cost_us(expected), self.cost_us(actual));
        let now_us = micros_of(now);
        let settled = |idle_at_us: u64| {
            Some(if actual_us > expected_us {
                let begin_us = idle_at_us.max(now_us);
                begin_us.saturating_add(actual_us - expected_us)
            } else {
                idle_at_us.saturating_sub(expected_us - actual_us)
            })
        };
        let _ = self
            .idle_at_us
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, settled);
    }

    /// Adds `cost_us` to the backlog when `fits` holds of its end before and after.
    fn join(&self, now_us: u64, cost_us: u64, fits: impl Fn(u64, u64) -> bool) -> bool {
        let joined = |idle_at_us: u64| {
            let before_us = idle_at_us.max(now_us);
            let after_us = before_us.saturating_add(cost_us);
            fits(before_us, after_us).then_some(after_us)
        };
        self.idle_at_us
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, joined)
            .is_ok()
    }

    const fn cost_us(&self, bytes: u64) -> u64 {
        let bits = bytes.saturating_mul(BITS_PER_BYTE);
        bits.saturating_mul(MICROS_PER_SECOND) / self.bits_per_second
    }
}

const fn micros_of(now: MonoTime) -> u64 {
    now.as_millis().saturating_mul(MICROS_PER_MILLI)
}

const fn backlog_us(priority: RequestPriority) -> u64 {
    match priority {
        RequestPriority::Interactive => INTERACTIVE_BACKLOG_US,
        RequestPriority::Standard => STANDARD_BACKLOG_US,
        RequestPriority::Bulk => BULK_BACKLOG_US,
    }
}
