//! A call whose epoch is not stale.

use crate::worker::PermittedCall;
use sapphirestile_core::MonoTime;
use sapphirestile_wire::worker::WorkerRefusal;

/// The oldest permit that a start may quote, in milliseconds on the worker's clock.
pub const PERMIT_AGE_MAX_MS: u64 = 3_000;

/// A call whose epoch is the highest that the worker has seen for its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencedCall {
    pub(super) permit: Option<(u64, MonoTime)>,
    pub(super) lease_until: MonoTime,
}

impl FencedCall {
    /// Checks the permit that the call quotes.
    ///
    /// # Errors
    ///
    /// [`WorkerRefusal::StalePermit`] when the permit is void or older than
    /// [`PERMIT_AGE_MAX_MS`], or when the lease has lapsed.
    pub fn permit(self, quoted: u64, now: MonoTime) -> Result<PermittedCall, WorkerRefusal> {
        let Some((permit, permitted)) = self.permit else {
            return Err(WorkerRefusal::StalePermit);
        };
        let age_ms = now.millis_since(permitted);
        if quoted != permit || age_ms > PERMIT_AGE_MAX_MS || now >= self.lease_until {
            return Err(WorkerRefusal::StalePermit);
        }
        Ok(PermittedCall { now })
    }
}
