//! Bandwidth limit for checkpoint transfers.

use sapphirestile_core::MonoTime;

/// A token bucket that limits transfers to a rate in bytes per second.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_placement::LinkPacer;
///
/// let mut pacer = LinkPacer::new(1_000, 500);
/// assert!(pacer.admit(400, MonoTime::from_millis(0)));
/// assert!(!pacer.admit(400, MonoTime::from_millis(100)));
/// assert!(pacer.admit(400, MonoTime::from_millis(300)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LinkPacer {
    rate_bytes_per_s: u64,
    burst_bytes: u64,
    allowance_bytes: i64,
    refilled_at: MonoTime,
}

impl LinkPacer {
    /// Creates a full bucket of `burst_bytes` that is refilled at `rate_bytes_per_s`.
    #[must_use]
    pub fn new(rate_bytes_per_s: u64, burst_bytes: u64) -> Self {
        Self {
            rate_bytes_per_s,
            burst_bytes,
            allowance_bytes: i64::try_from(burst_bytes).unwrap_or(i64::MAX),
            refilled_at: MonoTime::default(),
        }
    }

    /// Whether a transfer of `bytes` may begin at `now`. If so, it is deducted.
    ///
    /// A transfer larger than the bucket begins when the bucket is full. The
    /// allowance is then negative, and later transfers wait until it is refilled.
    pub fn admit(&mut self, bytes: u64, now: MonoTime) -> bool {
        let burst = i64::try_from(self.burst_bytes).unwrap_or(i64::MAX);
        let earned = self.rate_bytes_per_s * now.millis_since(self.refilled_at) / 1_000;
        let earned = i64::try_from(earned).unwrap_or(i64::MAX);
        self.allowance_bytes = self.allowance_bytes.saturating_add(earned).min(burst);
        self.refilled_at = now;
        let cost = i64::try_from(bytes).unwrap_or(i64::MAX);
        if self.allowance_bytes < cost.min(burst) {
            return false;
        }
        self.allowance_bytes -= cost;
        true
    }
}
