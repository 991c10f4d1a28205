//! A lease that holds.

use sapphirestile_core::MonoTime;

/// The lease holds until it lapses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LivePhase {
    pub(super) ttl_ms: u64,
    pub(super) until: MonoTime,
}
