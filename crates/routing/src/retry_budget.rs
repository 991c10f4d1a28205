//! A limit on retries and hedged attempts.

use crate::sync::AtomicU32;
use crate::sync::Ordering;

const MILLI_PER_ATTEMPT: u32 = 1_000;

/// A budget that limits retries and hedged attempts to a share of the traffic.
///
/// Each first attempt earns a fraction of an attempt, and each further attempt spends a
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
    max_attempts: u32,
}

impl RetryBudget {
    /// An empty budget that earns `share_milli` thousandths of an attempt for each first
    /// attempt and holds at most `max_attempts` attempts.
    #[must_use]
    pub fn new(share_milli: u32, max_attempts: u32) -> Self {
        Self {
            balance_milli: AtomicU32::new(0),
            share_milli,
            max_attempts,
        }
    }

    /// Records a first attempt.
    pub fn earn(&self) {
        let earned = |balance: u32| {
            let balance = balance.saturating_add(self.share_milli);
            Some(balance.min(self.max_attempts.saturating_mul(MILLI_PER_ATTEMPT)))
        };
        let _ = self
            .balance_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earned);
    }

    /// Spends one attempt; returns `false` if the budget holds less than one.
    #[must_use]
    pub fn spend(&self) -> bool {
        let spent = |balance: u32| balance.checked_sub(MILLI_PER_ATTEMPT);
        self.balance_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spent)
            .is_ok()
    }
}
