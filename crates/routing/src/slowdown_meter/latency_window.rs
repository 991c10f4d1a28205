//! The answers of a runner since its last measurement.

use sapphirestile_core::MonoTime;

use crate::RunnerGauge;

const REQUESTS_MIN: u64 = 5;
const WINDOW_MAX_MS: u64 = 60_000;

/// The answers of a runner since its last measurement, held as the gauge's counters at
/// the start of the window.
#[derive(Clone, Copy, Debug)]
pub struct LatencyWindow {
    pub since: MonoTime,
    answers: u64,
    latency_sum_us: u64,
}

impl LatencyWindow {
    /// A window that starts at `now`.
    pub fn start(gauge: &RunnerGauge, now: MonoTime) -> Self {
        Self {
            since: now,
            answers: gauge.answers(),
            latency_sum_us: gauge.latency_sum_us(),
        }
    }

    /// The number of answers since the start of the window.
    pub fn requests(&self, gauge: &RunnerGauge) -> u64 {
        gauge.answers().saturating_sub(self.answers)
    }

    /// The mean latency since the start of the window, in microseconds; `None` with too
    /// few answers.
    pub fn mean_us(&self, gauge: &RunnerGauge) -> Option<u64> {
        let requests = self.requests(gauge);
        let sum_us = gauge.latency_sum_us().wrapping_sub(self.latency_sum_us);
        (requests >= REQUESTS_MIN).then(|| sum_us / requests)
    }

    /// Whether the window has reached its longest duration.
    pub const fn has_expired(&self, now: MonoTime) -> bool {
        now.millis_since(self.since) >= WINDOW_MAX_MS
    }
}
