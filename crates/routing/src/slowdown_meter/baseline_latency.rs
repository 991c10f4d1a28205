//! The baseline latency of a runner.

const FALL_DIVISOR: u64 = 4;
const RISE_DIVISOR: u64 = 256;

/// The baseline latency of a runner: a running estimate of a low quantile of its mean
/// latencies.
///
/// It falls fast and rises slowly, so that hours of interference weigh as little as
/// minutes without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BaselineLatency {
    latency_us: u64,
}

impl BaselineLatency {
    /// A baseline that starts at the first mean, or at the median of the zone if that is
    /// lower, because the runner may suffer interference from the start.
    pub fn new(mean_us: u64, median_us: Option<u64>) -> Self {
        let latency_us = median_us.map_or(mean_us, |median| median.min(mean_us));
        Self { latency_us }
    }

    /// Updates the baseline with a new mean latency.
    pub const fn update(&mut self, mean_us: u64) {
        if mean_us < self.latency_us {
            self.latency_us -= (self.latency_us - mean_us).div_ceil(FALL_DIVISOR);
        } else {
            self.latency_us += (mean_us - self.latency_us) / RISE_DIVISOR;
        }
    }

    /// The baseline in microseconds.
    pub const fn get(self) -> u64 {
        self.latency_us
    }
}
