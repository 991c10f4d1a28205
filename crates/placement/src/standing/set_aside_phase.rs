//! A worker that takes no work for a time.

use sapphirestile_core::MonoTime;

/// The worker takes no work until a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SetAsidePhase {
    /// When its probation begins.
    pub until: MonoTime,
    /// How long it is set aside, in milliseconds.
    pub term_ms: u64,
}
