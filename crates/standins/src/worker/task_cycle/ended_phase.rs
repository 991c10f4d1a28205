//! An attempt that has ended.

use sapphirestile_core::MonoTime;
use sapphirestile_wire::worker::TaskPhase;

/// The attempt has ended and waits until its report is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedPhase {
    pub(super) phase: TaskPhase,
    pub(super) checkpoint_ms: u64,
    pub(super) ended: MonoTime,
}
