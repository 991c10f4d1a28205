//! A bounded part of the link for checkpoints.

use sapphirestile_core::MonoTime;

/// Lets bytes through at a rate, with a small burst.
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
    allowance: i64,
    counted: MonoTime,
}

impl LinkPacer {
    /// A pacer of `rate_bytes_per_s`, with a first allowance of `burst_bytes`.
    #[must_use]
    pub fn new(rate_bytes_per_s: u64, burst_bytes: u64) -> Self {
        Self {
            rate_bytes_per_s,
            burst_bytes,
            allowance: i64::try_from(burst_bytes).unwrap_or(i64::MAX),
            counted: MonoTime::default(),
        }
    }

    /// Whether a transfer of `bytes` may begin at `now`; counts it if so.
    ///
    /// A transfer larger than the burst begins when the allowance is full, and
    /// the next ones wait until it is paid.
    pub fn admit(&mut self, bytes: u64, now: MonoTime) -> bool {
        let burst = i64::try_from(self.burst_bytes).unwrap_or(i64::MAX);
        let earned = self.rate_bytes_per_s * now.millis_since(self.counted) / 1_000;
        let earned = i64::try_from(earned).unwrap_or(i64::MAX);
        self.allowance = self.allowance.saturating_add(earned).min(burst);
        self.counted = now;
        let cost = i64::try_from(bytes).unwrap_or(i64::MAX);
        if self.allowance < cost.min(burst) {
            return false;
        }
        self.allowance -= cost;
        true
    }
}
