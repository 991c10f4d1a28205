//! The answers of a runner since it was last measured.

use sapphirestile_core::MonoTime;

use crate::RunnerGauge;

const REQUESTS_MIN: u64 = 5;
const WINDOW_MAX_MS: u64 = 60_000;

/// The counters of a runner when its window began.
#[derive(Clone, Copy, Debug)]
pub struct LatencyWindow {
    pub since: MonoTime,
    answers: u64,
    latency_sum_us: u64,
}

impl LatencyWindow {
    /// A window that begins now.
    pub fn begin(gauge: &RunnerGauge, now: MonoTime) -> Self {
        Self {
            since: now,
            answers: gauge.answers(),
            latency_sum_us: gauge.latency_sum_us(),
        }
    }

    /// How many requests were answered since.
    pub fn requests(&self, gauge: &RunnerGauge) -> u64 {
        gauge.answers().saturating_sub(self.answers)
    }

    /// Their mean latency in microseconds, once they are enough to say anything.
    pub fn mean_us(&self, gauge: &RunnerGauge) -> Option<u64> {
        let requests = self.requests(gauge);
        let sum_us = gauge.latency_sum_us().wrapping_sub(self.latency_sum_us);
        (requests >= REQUESTS_MIN).then(|| sum_us / requests)
    }

    /// Whether too few requests came in too long a time.
    pub const fn has_lapsed(&self, now: MonoTime) -> bool {
        now.millis_since(self.since) >= WINDOW_MAX_MS
    }
}
