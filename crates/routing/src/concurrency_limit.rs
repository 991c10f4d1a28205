//! How many requests of a service a daemon keeps in flight.

use crate::sync::AtomicU32;
use crate::sync::AtomicU64;
use crate::sync::Ordering;

const LIMIT_MIN: u32 = 2;
const OVERLOAD_FACTOR: u64 = 2;
const DECREASE_NUMERATOR: u32 = 9;
const DECREASE_DENOMINATOR: u32 = 10;
const BASELINE_DIVISOR: u64 = 64;

/// A limit on requests in flight that follows the latency observed.
///
/// While latency stays near its baseline and the limit is in use, the limit
/// grows by one a round; when latency doubles, it falls by a tenth. The baseline
/// is the least latency seen and drifts upwards slowly.
///
/// # Examples
///
/// ```
/// use sapphirestile_routing::ConcurrencyLimit;
///
/// let limit = ConcurrencyLimit::new(2, 64);
/// assert!(limit.enter() && limit.enter());
/// assert!(!limit.enter());
/// limit.leave();
/// assert!(limit.enter());
/// ```
#[derive(Debug)]
pub struct ConcurrencyLimit {
    limit: AtomicU32,
    in_flight: AtomicU32,
    peak: AtomicU32,
    baseline_us: AtomicU64,
    most: u32,
}

impl ConcurrencyLimit {
    /// A limit that begins at `limit` and grows to `most` requests.
    #[must_use]
    pub fn new(limit: u32, most: u32) -> Self {
        Self {
            limit: AtomicU32::new(limit.max(LIMIT_MIN)),
            in_flight: AtomicU32::new(0),
            peak: AtomicU32::new(0),
            baseline_us: AtomicU64::new(0),
            most: most.max(LIMIT_MIN),
        }
    }

    /// Counts a request in; false when the limit is reached.
    #[must_use]
    pub fn enter(&self) -> bool {
        let limit = self.limit.load(Ordering::Relaxed);
        let entered = |in_flight: u32| (in_flight < limit).then_some(in_flight + 1);
        let before = self
            .in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, entered);
        let Ok(before) = before else {
            self.peak.fetch_max(limit, Ordering::Relaxed);
            return false;
        };
        self.peak.fetch_max(before + 1, Ordering::Relaxed);
        true
    }

    /// Counts a request out.
    ///
    /// # Panics
    ///
    /// When none was in.
    pub fn leave(&self) {
        let before = self.in_flight.fetch_sub(1, Ordering::AcqRel);
        assert!(before > 0, "a request left that had not entered");
    }

    /// The limit now.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.load(Ordering::Relaxed)
    }

    /// Adjusts the limit by the latency of one round, in microseconds. Called by
    /// one thread.
    pub fn adjust(&self, latency_us: u64) {
        let peak = self.peak.swap(0, Ordering::Relaxed);
        if latency_us == 0 {
            return;
        }
        let baseline = self.drift_baseline(latency_us);
        let limit = self.limit();
        let next = if latency_us > baseline * OVERLOAD_FACTOR {
            limit * DECREASE_NUMERATOR / DECREASE_DENOMINATOR
        } else if peak >= limit {
            limit + 1
        } else {
            limit
        };
        self.limit
            .store(next.clamp(LIMIT_MIN, self.most), Ordering::Relaxed);
    }

    fn drift_baseline(&self, latency_us: u64) -> u64 {
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
