//! The phase of a lease that has not expired.

use sapphirestile_core::MonoTime;

/// The lease has not expired; it may be renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LivePhase {
    /// The time to live without renewal, in milliseconds.
    pub(super) ttl_ms: u64,
    /// When the lease expires unless it is renewed.
    pub(super) expires_at: MonoTime,
}
