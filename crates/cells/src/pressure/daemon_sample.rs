//! Measurements of single daemons.

use crate::pressure::MessageSequence;
use sapphirestile_core::MonoTime;

/// The latest measurement of one daemon next to one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonSample {
    /// Position of the message that brought it.
    pub sequence: MessageSequence,
    /// When the message was received.
    pub received: MonoTime,
    /// When the measurement began.
    pub measured: MonoTime,
    /// How much longer requests took than undisturbed, in thousandths of that time.
    pub slowdown_permille: u64,
    /// Number of requests measured.
    pub requests: u64,
}
