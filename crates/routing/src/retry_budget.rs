//! How many requests may be sent a second time.

use crate::sync::AtomicU32;
use crate::sync::Ordering;

const MILLI_ATTEMPT: u32 = 1_000;

/// A budget of second attempts as a share of the traffic.
///
/// Each first attempt earns a share of an attempt, each second attempt spends a
/// whole one, so that retries cannot multiply the load when everything fails.
///
/// # Examples
///
/// ```
/// use sapphirestile_routing::RetryBudget;
///
/// let budget = RetryBudget::new(100, 10);
/// for _ in 0..10 {
///     budget.earn();
/// }
/// assert!(budget.spend());
/// assert!(!budget.spend());
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    balance_milli: AtomicU32,
    share_milli: u32,
    most: u32,
}

impl RetryBudget {
    /// An empty budget that earns `share_milli` thousandths of an attempt for
    /// each request and keeps at most `most` attempts.
    #[must_use]
    pub fn new(share_milli: u32, most: u32) -> Self {
        Self {
            balance_milli: AtomicU32::new(0),
            share_milli,
            most,
        }
    }

    /// Notes a first attempt.
    pub fn earn(&self) {
        let earned = |balance: u32| {
            let balance = balance.saturating_add(self.share_milli);
            Some(balance.min(self.most.saturating_mul(MILLI_ATTEMPT)))
        };
        let _ = self
            .balance_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earned);
    }

    /// Takes one second attempt out; false when there is none.
    #[must_use]
    pub fn spend(&self) -> bool {
        let spent = |balance: u32| balance.checked_sub(MILLI_ATTEMPT);
        self.balance_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spent)
            .is_ok()
    }
}
