//! A daemon's measurement beside a worker.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::MonoTime;

/// By how much requests of one daemon were slowed beside a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowdownView<'a> {
    /// The worker.
    pub worker: &'a str,
    /// The daemon that measured.
    pub daemon: &'a DaemonIdentity,
    /// The number of its message; grows within an incarnation.
    pub call: u64,
    /// When the message was received.
    pub received: MonoTime,
    /// When the measurement began, on the receiver's clock.
    pub measured: MonoTime,
    /// How much longer requests took than undisturbed, in thousandths.
    pub slowdown_permille: u64,
    /// How many requests were measured.
    pub requests: u64,
}
