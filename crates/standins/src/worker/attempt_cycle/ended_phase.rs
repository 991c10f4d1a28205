//! The phase of an attempt that has ended.

use sapphirestile_core::MonoTime;
use sapphirestile_wire::worker::TaskPhase;

/// The attempt has ended. It is reported until the owner has recorded the result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedPhase {
    /// How it ended.
    pub(super) phase: TaskPhase,
    /// Work covered by the last checkpoint, in milliseconds of run time.
    pub(super) checkpoint_ms: u64,
    pub(super) ended: MonoTime,
}
