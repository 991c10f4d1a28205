//! This daemon's share of the link between regions.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::context::SwapHolder;
use sapphirestile_core::MonoTime;
use sapphirestile_routing::LinkBudget;
use sapphirestile_routing::RequestPriority;

const SHARE_DEFAULT_BITS_PER_SECOND: u64 = 5_000_000;

/// The share of the link, which follows the document and the number of daemons.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_daemon::callers::LinkShare;
/// use sapphirestile_routing::RequestPriority;
///
/// let share = LinkShare::default();
/// let now = MonoTime::from_millis(0);
/// // 10,000 bytes take 16 ms at 5 Mbit/s, and bulk waits for 10 ms at the most.
/// assert!(!share.admit(10_000, RequestPriority::Bulk, now));
/// share.set(30_000_000);
/// assert!(share.admit(10_000, RequestPriority::Bulk, now));
/// ```
#[derive(Debug)]
pub struct LinkShare {
    budget: SwapHolder<LinkBudget>,
    bits_per_second: AtomicU64,
}

impl Default for LinkShare {
    fn default() -> Self {
        Self {
            budget: SwapHolder::new(LinkBudget::new(SHARE_DEFAULT_BITS_PER_SECOND)),
            bits_per_second: AtomicU64::new(SHARE_DEFAULT_BITS_PER_SECOND),
        }
    }
}

impl LinkShare {
    /// Sets the share. One that has not changed keeps its backlog.
    pub fn set(&self, bits_per_second: u64) {
        let before = self.bits_per_second.swap(bits_per_second, Ordering::AcqRel);
        if before != bits_per_second {
            self.budget.update(|_| LinkBudget::new(bits_per_second));
        }
    }

    /// Counts `bytes` in; false, and nothing is counted, when a request of this
    /// priority would join too long a backlog.
    #[must_use]
    pub fn admit(&self, bytes: u64, priority: RequestPriority, now: MonoTime) -> bool {
        self.budget.load().admit(bytes, priority, now)
    }
}
