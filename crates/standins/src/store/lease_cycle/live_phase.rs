//! The phase of a lease that has not expired.

use sapphirestile_core::MonoTime;

/// The lease has not expired. Its time to live is kept to renew it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LivePhase {
    pub(super) ttl_ms: u64,
    pub(super) expires_at: MonoTime,
}
