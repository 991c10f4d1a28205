//! The latest measurement of one daemon.

use crate::pressure::MessageOrder;
use sapphirestile_core::MonoTime;

/// The latest measurement of one daemon beside one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampleRow {
    /// Which message it came with.
    pub order: MessageOrder,
    /// When it was received.
    pub received: MonoTime,
    /// When the measurement began.
    pub measured: MonoTime,
    /// The slowdown in thousandths.
    pub slowdown_permille: u64,
    /// How many requests were measured.
    pub requests: u64,
}
