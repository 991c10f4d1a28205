//! Slowdown messages of daemons.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::MonoTime;

/// A daemon's measurement of the slowdown of requests next to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowdownView<'a> {
    /// Name of the worker.
    pub worker: &'a str,
    /// The daemon that measured.
    pub daemon: &'a DaemonIdentity,
    /// Number of the message; increases within an incarnation.
    pub call: u64,
    /// When the message was received.
    pub received: MonoTime,
    /// When the measurement began, on the receiver's clock.
    pub measured: MonoTime,
    /// How much longer requests took than undisturbed, in thousandths of that time.
    pub slowdown_permille: u64,
    /// Number of requests measured.
    pub requests: u64,
}
