//! An adaptive limit on the requests in flight.

use crate::sync::AtomicU32;
use crate::sync::AtomicU64;
use crate::sync::Ordering;

const LIMIT_MIN: u32 = 2;
/// The limit shrinks above this many times the baseline latency.
const OVERLOAD_FACTOR: u64 = 2;
const DECREASE_NUMERATOR: u32 = 9;
const DECREASE_DENOMINATOR: u32 = 10;
/// In each round the baseline rises by one over this of the excess of the latency.
const BASELINE_DIVISOR: u64 = 64;

/// A limit on the requests in flight that adapts to the observed latency.
///
/// The limit grows by one each round while it is fully used and the latency is at most
/// twice the baseline; it shrinks by a tenth while the latency is higher. The baseline
/// is the lowest latency observed and drifts slowly upwards.
///
/// # Examples
///
/// ```
/// use sapphirestile_routing::ConcurrencyLimit;
///
/// let limit = ConcurrencyLimit::new(2, 64);
/// assert!(limit.try_acquire() && limit.try_acquire());
/// assert!(!limit.try_acquire());
/// limit.release();
/// assert!(limit.try_acquire());
/// ```
#[derive(Debug)]
pub struct ConcurrencyLimit {
    limit: AtomicU32,
    in_flight: AtomicU32,
    /// The most requests in flight since the last adjustment.
    peak: AtomicU32,
    /// The baseline latency; zero before the first round with a latency.
    baseline_us: AtomicU64,
    max: u32,
}

impl ConcurrencyLimit {
    /// A limit that starts at `limit` requests and grows to at most `max`; both are at
    /// least 2.
    #[must_use]
    pub fn new(limit: u32, max: u32) -> Self {
        Self {
            limit: AtomicU32::new(limit.max(LIMIT_MIN)),
            in_flight: AtomicU32::new(0),
            peak: AtomicU32::new(0),
            baseline_us: AtomicU64::new(0),
            max: max.max(LIMIT_MIN),
        }
    }

    /// Counts a request as in flight; returns `false` when the limit is reached.
    #[must_use]
    pub fn try_acquire(&self) -> bool {
        let limit = self.limit.load(Ordering::Relaxed);
        let acquired = |in_flight: u32| (in_flight < limit).then_some(in_flight + 1);
        let before = self
            .in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, acquired);
        let Ok(before) = before else {
            self.peak.fetch_max(limit, Ordering::Relaxed);
            return false;
        };
        self.peak.fetch_max(before + 1, Ordering::Relaxed);
        true
    }

    /// Counts a request as no longer in flight.
    ///
    /// # Panics
    ///
    /// If no request is in flight.
    pub fn release(&self) {
        let before = self.in_flight.fetch_sub(1, Ordering::AcqRel);
        assert!(before > 0, "released a request although none is in flight");
    }

    /// The current limit on the requests in flight.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.load(Ordering::Relaxed)
    }

    /// Adjusts the limit at the end of a round in which requests had a latency of
    /// `latency_us` microseconds; zero means that none was observed. Must be called by a
    /// single thread.
    pub fn adjust(&self, latency_us: u64) {
        let peak = self.peak.swap(0, Ordering::Relaxed);
        if latency_us == 0 {
            return;
        }
        let baseline = self.update_baseline(latency_us);
        let limit = self.limit();
        let next = if latency_us > baseline * OVERLOAD_FACTOR {
            limit * DECREASE_NUMERATOR / DECREASE_DENOMINATOR
        } else if peak >= limit {
            limit + 1
        } else {
            limit
        };
        self.limit
            .store(next.clamp(LIMIT_MIN, self.max), Ordering::Relaxed);
    }

    fn update_baseline(&self, latency_us: u64) -> u64 {
        let known = self.baseline_us.load(Ordering::Relaxed);
        let baseline = if known == 0 || latency_us < known {
            latency_us
        } else {
            known + (latency_us - known) / BASELINE_DIVISOR
        };
        self.baseline_us.store(baseline, Ordering::Relaxed);
        baseline
    }
}
