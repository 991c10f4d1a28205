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

/// One daemon's share of the link between regions.
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
        let now_us = now.as_millis().saturating_mul(MICROS_PER_MILLI);
        let latest_us = now_us.saturating_add(backlog_us(priority));
        let bits = bytes.saturating_mul(BITS_PER_BYTE);
        let cost_us = bits.saturating_mul(MICROS_PER_SECOND) / self.bits_per_second;
        let joined = |idle_at_us: u64| {
            let idle_at_us = idle_at_us.max(now_us).saturating_add(cost_us);
            (idle_at_us <= latest_us).then_some(idle_at_us)
        };
        self.idle_at_us
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, joined)
            .is_ok()
    }
}

const fn backlog_us(priority: RequestPriority) -> u64 {
    match priority {
        RequestPriority::Interactive => INTERACTIVE_BACKLOG_US,
        RequestPriority::Standard => STANDARD_BACKLOG_US,
        RequestPriority::Bulk => BULK_BACKLOG_US,
    }
}
