//! Quarantine of a worker.

use sapphirestile_core::MonoTime;

/// The worker takes no tasks until the quarantine ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantinedPhase {
    /// When the quarantine ends and probation begins.
    pub until: MonoTime,
    /// The length of the quarantine, in milliseconds.
    pub quarantine_ms: u64,
}
