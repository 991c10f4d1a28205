//! Thresholds and waiting times of interference control.

/// Thresholds and waiting times of the actions on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PressurePolicy {
    /// Tasks are throttled or stopped above this slowdown, in thousandths.
    pub high_permille: u64,
    /// Throttles are lifted below this slowdown, in thousandths.
    pub low_permille: u64,
    /// The maximum lag of a measurement, in milliseconds. A measurement taken before
    /// the last action does not show its effect.
    pub lag_ms: u64,
    /// How long the slowdown must stay below `low_permille` before one throttle is
    /// lifted, in milliseconds.
    pub release_after_ms: u64,
    /// The number of throttle steps in force from which a task is stopped instead of
    /// throttled.
    pub throttles_before_stop: u32,
}

impl Default for PressurePolicy {
    fn default() -> Self {
        Self {
            high_permille: 250,
            low_permille: 100,
            lag_ms: 30_000,
            release_after_ms: 120_000,
            throttles_before_stop: 3,
        }
    }
}
