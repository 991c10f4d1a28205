//! Circuit breaker of a worker.

use sapphirestile_core::MonoTime;

/// Number of failures in a row at which the breaker trips.
const TRIP_FAILURES: u32 = 3;

/// Backoff after the first trip, in milliseconds.
const FIRST_BACKOFF_MS: u64 = 2_000;

/// Maximum number of times that the first backoff is doubled.
const DOUBLINGS_MAX: u32 = 8;

/// Maximum backoff, in milliseconds: a long-running task may fit on no other worker, and
/// must not wait much longer for one that has recovered.
const BACKOFF_MAX_MS: u64 = 4_000;

/// Circuit breaker that excludes a worker from new tasks after several failures in a row,
/// with exponential backoff.
///
/// Failures during the backoff are of runs that were started before it, so they are not
/// counted: twelve simultaneous starts without a response trip the breaker once.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_jobs::WorkerBreaker;
///
/// let mut breaker = WorkerBreaker::default();
/// for _ in 0..3 {
///     breaker.record_failure(MonoTime::from_millis(0));
/// }
/// assert!(!breaker.admits_tasks(MonoTime::from_millis(1_999)));
/// assert!(breaker.admits_tasks(MonoTime::from_millis(2_000)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerBreaker {
    failures: u32,
    trips: u32,
    retry_at: MonoTime,
}

impl WorkerBreaker {
    /// Records a run that completed, which resets the backoff.
    pub const fn record_success(&mut self) {
        self.failures = 0;
        self.trips = 0;
    }

    /// Records a failed run or start. Has no effect during the backoff.
    pub fn record_failure(&mut self, now: MonoTime) {
        if !self.admits_tasks(now) {
            return;
        }
        self.failures += 1;
        if self.failures >= TRIP_FAILURES {
            self.trip(now);
        }
    }

    /// Trips the breaker at once. Has no effect during the backoff.
    pub fn trip(&mut self, now: MonoTime) {
        if !self.admits_tasks(now) {
            return;
        }
        let doubled_ms = FIRST_BACKOFF_MS << self.trips.min(DOUBLINGS_MAX);
        let backoff_ms = doubled_ms.min(BACKOFF_MAX_MS);
        self.failures = 0;
        self.trips += 1;
        self.retry_at = now.plus_millis(backoff_ms);
    }

    /// Whether the worker may be given new tasks at `now`.
    #[must_use]
    pub fn admits_tasks(&self, now: MonoTime) -> bool {
        now >= self.retry_at
    }
}
