//! A task on a worker under pressure.

/// A task as a candidate for a [`PressureAction`](crate::PressureAction).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PressureTask {
    /// The predicted interference of the task when not throttled, in thousandths.
    pub interference_permille: u64,
    /// The part of its CPU time that it may use now, in thousandths.
    pub throttle_permille: u64,
}
