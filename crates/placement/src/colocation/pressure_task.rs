//! A task on a disturbed worker.

/// A task on a disturbed worker, as the choice of what to throttle sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PressureTask {
    /// How much the task disturbs when it is not throttled, in thousandths.
    pub noise_permille: u64,
    /// The part of its processor time that it is let have, in thousandths.
    pub throttle_permille: u64,
}
