//! When a disturbed worker is acted on.

/// Bounds and waits of the pressure on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PressurePolicy {
    /// Above this slowdown tasks are throttled, in thousandths.
    pub high_permille: u64,
    /// Below this slowdown throttles are lifted, in thousandths.
    pub low_permille: u64,
    /// The longest lag of a measurement, in milliseconds. A measurement taken
    /// before the last action says nothing about it.
    pub lag_ms: u64,
    /// How long a worker stays below before one throttle is lifted, in milliseconds.
    pub release_after_ms: u64,
    /// How many times tasks are throttled before one is stopped.
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
