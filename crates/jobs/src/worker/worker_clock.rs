//! Estimate of a worker's clock.

use sapphirestile_core::MonoTime;

/// Bound on clock drift: a worker's clock runs at most 1/50 slower than the owner's.
const DRIFT_DIVISOR: u64 = 50;

/// Time after the end of a lease, on the worker's clock, before it counts as expired, in
/// milliseconds.
const LAPSE_MARGIN_MS: u64 = 100;

/// Estimates a worker's clock, and tracks the end of the lease of its runs on that clock.
///
/// Lease times are those of the worker's clock. A pause of this process makes every
/// estimate too early, never too late, so no lease is considered expired too soon or
/// granted for too long.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_jobs::WorkerClock;
///
/// let mut clock = WorkerClock::new(482_113, 0, MonoTime::from_millis(1_000));
/// assert_eq!(clock.estimate(MonoTime::from_millis(1_500)), 482_613);
/// clock.grant(486_000);
/// assert!(!clock.has_lapsed(MonoTime::from_millis(4_900)));
/// assert!(clock.has_lapsed(MonoTime::from_millis(5_100)));
/// assert_eq!(clock.lapses_after_ms(MonoTime::from_millis(4_900)), 169);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerClock {
    clock_ms: u64,
    read_at: MonoTime,
    lease_end_ms: u64,
}

impl WorkerClock {
    /// Creates the estimate from the first response of the worker, which showed `clock_ms`
    /// and arrived at `now`. An earlier owner may have granted leases of up to
    /// `inherited_ms`; the poll has fenced that owner, so it can grant no more.
    #[must_use]
    pub const fn new(clock_ms: u64, inherited_ms: u64, now: MonoTime) -> Self {
        Self {
            clock_ms,
            read_at: now,
            lease_end_ms: clock_ms.saturating_add(inherited_ms),
        }
    }

    /// Updates the estimate from a later response, which showed `clock_ms` and arrived at
    /// `now`.
    pub const fn update(&mut self, clock_ms: u64, now: MonoTime) {
        self.clock_ms = clock_ms;
        self.read_at = now;
    }

    /// Estimated clock of the worker at `now`, in milliseconds. The actual clock is later
    /// by about the time that the latest response took to arrive.
    #[must_use]
    pub const fn estimate(&self, now: MonoTime) -> u64 {
        self.clock_ms.saturating_add(now.millis_since(self.read_at))
    }

    /// Records that a lease until `end_ms` on the worker's clock was sent, whether or not
    /// it arrives.
    pub const fn grant(&mut self, end_ms: u64) {
        if end_ms > self.lease_end_ms {
            self.lease_end_ms = end_ms;
        }
    }

    /// Whether every lease that was sent has certainly expired at `now`.
    #[must_use]
    pub const fn has_lapsed(&self, now: MonoTime) -> bool {
        let elapsed_ms = now.millis_since(self.read_at);
        let least_ms = elapsed_ms - elapsed_ms / DRIFT_DIVISOR;
        let clock_ms = self.clock_ms.saturating_add(least_ms);
        clock_ms >= self.lease_end_ms.saturating_add(LAPSE_MARGIN_MS)
    }

    /// Time after `now` at which every lease that was sent has certainly expired, in
    /// milliseconds; 0 if it has already.
    #[must_use]
    pub const fn lapses_after_ms(&self, now: MonoTime) -> u64 {
        let lease_ms = self
            .lease_end_ms
            .saturating_add(LAPSE_MARGIN_MS)
            .saturating_sub(self.clock_ms);
        // One more than the drift, so that the rounding of `has_lapsed` is covered.
        let elapsed_ms = lease_ms.saturating_add(lease_ms / (DRIFT_DIVISOR - 1) + 1);
        elapsed_ms.saturating_sub(now.millis_since(self.read_at))
    }
}
