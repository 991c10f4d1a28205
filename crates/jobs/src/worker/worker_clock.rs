//! The clock of a worker.

use sapphirestile_core::MonoTime;

/// How much slower than ours a worker's clock may go, as a divisor.
const DRIFT_DIVISOR: u64 = 50;

/// What a lease must be past on the worker's clock before it counts as ended, in
/// milliseconds.
const LAPSE_MARGIN_MS: u64 = 100;

/// Follows a worker's clock and the lease that its runs were given on it.
///
/// All times are the worker's, so a pause of this process makes every estimate
/// earlier than the truth: a lease is never taken for ended too soon, nor given
/// for too long.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_jobs::WorkerClock;
///
/// let mut clock = WorkerClock::heard(482_113, 0, MonoTime::from_millis(1_000));
/// assert_eq!(clock.estimate(MonoTime::from_millis(1_500)), 482_613);
/// clock.grant(486_000);
/// assert!(!clock.has_lapsed(MonoTime::from_millis(4_900)));
/// assert!(clock.has_lapsed(MonoTime::from_millis(5_100)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerClock {
    clock_ms: u64,
    heard: MonoTime,
    lease_end_ms: u64,
}

impl WorkerClock {
    /// A clock that showed `clock_ms` in an answer that came at `now`, where an
    /// earlier owner may have given leases of up to `inherited_ms`. The answer fences
    /// that owner, so it gives no later ones.
    #[must_use]
    pub const fn heard(clock_ms: u64, inherited_ms: u64, now: MonoTime) -> Self {
        Self {
            clock_ms,
            heard: now,
            lease_end_ms: clock_ms.saturating_add(inherited_ms),
        }
    }

    /// Takes note of a later answer.
    pub const fn hear(&mut self, clock_ms: u64, now: MonoTime) {
        self.clock_ms = clock_ms;
        self.heard = now;
    }

    /// What the clock shows at `now`, or shortly after.
    #[must_use]
    pub const fn estimate(&self, now: MonoTime) -> u64 {
        self.clock_ms.saturating_add(now.millis_since(self.heard))
    }

    /// Takes note that a lease until `end_ms` was ordered, whether or not the order
    /// arrives.
    pub const fn grant(&mut self, end_ms: u64) {
        if end_ms > self.lease_end_ms {
            self.lease_end_ms = end_ms;
        }
    }

    /// Whether every lease that was ordered has surely ended at `now`.
    #[must_use]
    pub const fn has_lapsed(&self, now: MonoTime) -> bool {
        let elapsed_ms = now.millis_since(self.heard);
        let least_ms = elapsed_ms - elapsed_ms / DRIFT_DIVISOR;
        let clock_ms = self.clock_ms.saturating_add(least_ms);
        clock_ms >= self.lease_end_ms.saturating_add(LAPSE_MARGIN_MS)
    }
}
