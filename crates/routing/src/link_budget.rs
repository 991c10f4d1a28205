//! Admission of requests and answers to the link between regions.

use sapphirestile_core::MonoTime;

use crate::RequestPriority;
use crate::sync::AtomicU64;
use crate::sync::Ordering;

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
const BITS_PER_BYTE: u64 = 8;
// The backlog limit of each priority, as the time that the link takes to transmit it.
const INTERACTIVE_BACKLOG_MAX_US: u64 = 200_000;
const STANDARD_BACKLOG_MAX_US: u64 = 50_000;
const BULK_BACKLOG_MAX_US: u64 = 10_000;

/// One daemon's share of the link between regions, in one direction.
///
/// Admitted bytes form a backlog that the link transmits at its bandwidth. A request is
/// admitted only if the backlog stays within a limit that is lower for less important
/// requests, so that bulk requests leave bandwidth for interactive ones.
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
    /// The time at which the link has transmitted its backlog, in microseconds.
    idle_at_us: AtomicU64,
}

impl LinkBudget {
    /// A share of `bits_per_second` bits per second, at least one.
    #[must_use]
    pub fn new(bits_per_second: u64) -> Self {
        Self {
            bits_per_second: bits_per_second.max(1),
            idle_at_us: AtomicU64::new(0),
        }
    }

    /// Adds `bytes` to the backlog. Returns `false` and adds nothing if the backlog would
    /// exceed the limit of this priority.
    #[must_use]
    pub fn admit(&self, bytes: u64, priority: RequestPriority, now: MonoTime) -> bool {
        let now_us = micros_of(now);
        let latest_us = now_us.saturating_add(backlog_max_us(priority));
        let cost_us = self.cost_us(bytes);
        self.extend_backlog(now_us, cost_us, |_, after_us| after_us <= latest_us)
    }

    /// Adds an answer with an expected size of `bytes` to the backlog. Returns `false` and
    /// adds nothing if the backlog would exceed the limit of this priority.
    ///
    /// An idle link admits an answer of any size, because a large answer could never be
    /// admitted otherwise.
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
        let latest_us = now_us.saturating_add(backlog_max_us(priority));
        let cost_us = self.cost_us(bytes);
        self.extend_backlog(now_us, cost_us, |before_us, after_us| {
            before_us <= now_us || after_us <= latest_us
        })
    }

    /// Replaces the `expected` bytes of an admitted answer with its `actual` bytes, which
    /// are zero if no answer arrived.
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
    /// // The 500,000 bytes that arrived keep the link busy for a second.
    /// assert!(!budget.admit(1_000, RequestPriority::Interactive, now));
    /// ```
    pub fn settle(&self, expected: u64, actual: u64, now: MonoTime) {
        let (expected_us, actual_us) = (self.cost_us(expected), self.cost_us(actual));
        let now_us = micros_of(now);
        let settled = |idle_at_us: u64| {
            Some(if actual_us > expected_us {
                let start_us = idle_at_us.max(now_us);
                start_us.saturating_add(actual_us - expected_us)
            } else {
                idle_at_us.saturating_sub(expected_us - actual_us)
            })
        };
        let _ = self
            .idle_at_us
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, settled);
    }

    /// Adds `cost_us` to the backlog if `fits` accepts the end of the backlog before and
    /// after.
    fn extend_backlog(&self, now_us: u64, cost_us: u64, fits: impl Fn(u64, u64) -> bool) -> bool {
        let extended = |idle_at_us: u64| {
            let before_us = idle_at_us.max(now_us);
            let after_us = before_us.saturating_add(cost_us);
            fits(before_us, after_us).then_some(after_us)
        };
        self.idle_at_us
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, extended)
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

const fn backlog_max_us(priority: RequestPriority) -> u64 {
    match priority {
        RequestPriority::Interactive => INTERACTIVE_BACKLOG_MAX_US,
        RequestPriority::Standard => STANDARD_BACKLOG_MAX_US,
        RequestPriority::Bulk => BULK_BACKLOG_MAX_US,
    }
}
