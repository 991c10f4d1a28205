//! How many lines a second are written.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use sapphirestile_core::MonoTime;

const MS_PER_S: u64 = 1_000;

/// The bits of the count; the second is above them.
const COUNT_BITS: u32 = 20;

/// Lets so many lines pass in each second.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_entry::LogBudget;
///
/// let budget = LogBudget::new(2);
/// let early = MonoTime::from_millis(100);
/// assert!(budget.take(early) && budget.take(early));
/// assert!(!budget.take(early));
/// assert!(budget.take(MonoTime::from_millis(1_100)));
/// ```
#[derive(Debug)]
pub struct LogBudget {
    lines_a_second: u64,
    /// The second, and how many lines passed in it.
    state: AtomicU64,
}

impl LogBudget {
    /// A budget of so many lines a second.
    #[must_use]
    pub const fn new(lines_a_second: u64) -> Self {
        Self {
            lines_a_second,
            state: AtomicU64::new(0),
        }
    }

    /// Whether another line may pass at `now`.
    pub fn take(&self, now: MonoTime) -> bool {
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
                (count <= self.lines_a_second).then_some(next)
            });
        update.is_ok()
    }
}
