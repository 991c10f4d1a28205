//! A worker with throttled tasks.

use sapphirestile_core::MonoTime;

/// Some tasks are throttled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ThrottledPhase {
    /// How many throttles are in force.
    pub throttles: u32,
    /// When the last action was taken.
    pub acted: MonoTime,
    /// Since when the worker is below the lower bound, if it is.
    pub calm_since: Option<MonoTime>,
}
