//! The undisturbed latency of a runner.

const FALL_DIVISOR: u64 = 4;
const RISE_DIVISOR: u64 = 256;

/// A low quantile of the mean latencies of a runner, followed step by step: down
/// fast, up slowly, so that hours of disturbance weigh as little as minutes
/// without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UndisturbedLevel {
    level_us: u64,
}

impl UndisturbedLevel {
    /// A level that begins at the first mean, or at the peers' median if that is
    /// lower: the runner may be disturbed from the start.
    pub fn begin(mean_us: u64, median_us: Option<u64>) -> Self {
        let level_us = median_us.map_or(mean_us, |median| median.min(mean_us));
        Self { level_us }
    }

    /// Takes one more mean in.
    pub const fn follow(&mut self, mean_us: u64) {
        if mean_us < self.level_us {
            self.level_us -= (self.level_us - mean_us).div_ceil(FALL_DIVISOR);
        } else {
            self.level_us += (mean_us - self.level_us) / RISE_DIVISOR;
        }
    }

    /// The level in microseconds.
    pub const fn get(self) -> u64 {
        self.level_us
    }
}
