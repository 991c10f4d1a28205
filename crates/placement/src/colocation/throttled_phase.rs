//! Pressure phase of a worker with throttled tasks.

use sapphirestile_core::MonoTime;

/// At least one throttle is in force on the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ThrottledPhase {
    /// The number of throttle steps in force.
    pub throttles: u32,
    /// When the last action was taken.
    pub last_action_at: MonoTime,
    /// Since when the slowdown is below the lower threshold, or `None` if it is not.
    pub below_low_since: Option<MonoTime>,
}
