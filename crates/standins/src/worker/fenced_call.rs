//! A call whose epoch has been checked.

use crate::worker::PermittedCall;
use sapphirestile_core::MonoTime;
use sapphirestile_wire::worker::WorkerRefusal;

/// The maximum age of the permit of a start, in milliseconds on the worker's clock.
pub const PERMIT_AGE_MAX_MS: u64 = 3_000;

/// A call whose epoch is not lower than that of its cell's session. Its permit is not yet
/// checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencedCall {
    /// The valid permit and when it was issued; `None` when the epoch has no session yet.
    pub(super) permit: Option<(u64, MonoTime)>,
    /// When the lease of the cell's tasks expires.
    pub(super) lease_until: MonoTime,
}

impl FencedCall {
    /// Checks the permit that the call quotes. On success, an attempt may be started at `now`.
    ///
    /// # Errors
    ///
    /// [`WorkerRefusal::StalePermit`] when the permit is not the latest one of the
    /// epoch's session or is older than [`PERMIT_AGE_MAX_MS`], or when the lease has expired.
    pub fn permit(self, quoted: u64, now: MonoTime) -> Result<PermittedCall, WorkerRefusal> {
        let Some((permit, issued)) = self.permit else {
            return Err(WorkerRefusal::StalePermit);
        };
        let age_ms = now.millis_since(issued);
        if quoted != permit || age_ms > PERMIT_AGE_MAX_MS || now >= self.lease_until {
            return Err(WorkerRefusal::StalePermit);
        }
        Ok(PermittedCall { now })
    }
}
