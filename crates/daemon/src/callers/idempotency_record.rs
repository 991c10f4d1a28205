//! The record of a request under its idempotency key.

use crate::callers::CallerReply;
use crate::cells::CellRouter;
use crate::context::DaemonContext;
use sapphirestile_core::RequestKey;
use sapphirestile_routing::RecordProof;
use sapphirestile_routing::RequestAttributes;
use sapphirestile_routing::RouteRefusal;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerRequest;

/// The record of a request, in the journal of the cell to which its idempotency key
/// belongs.
pub struct IdempotencyRecord<'r> {
    context: &'r DaemonContext,
    /// Distinguishes this request from others with the same key.
    nonce: u64,
}

impl<'r> IdempotencyRecord<'r> {
    /// The record of the request that has this random `nonce`.
    #[must_use]
    pub const fn new(context: &'r DaemonContext, nonce: u64) -> Self {
        Self { context, nonce }
    }

    /// Has the owner of the cell record the request. If that fails for any reason, the
    /// request must not be sent.
    ///
    /// # Errors
    ///
    /// The reply to the caller if this request is not recorded.
    pub fn commit(&self, attributes: &RequestAttributes) -> Result<RecordProof, CallerReply> {
        let not_run = || CallerReply::NotRun(RouteRefusal::NoRecord);
        let key = attributes.key.clone().ok_or_else(not_run)?;
        let map = self.context.cell_map().ok_or_else(not_run)?;
        let cell = map.cell_of_key(key.as_str());
        let record = PeerRequest::RecordRequest(cell, key.clone(), self.nonce);
        match CellRouter::new(self.context).call(cell, record) {
            PeerAnswer::Recorded { epoch, sequence } => {
                Ok(RecordProof::committed(key, epoch, sequence))
            }
            PeerAnswer::AlreadyRecorded => Err(CallerReply::AlreadySent),
            _ => Err(not_run()),
        }
    }

    /// Withdraws the record of a request that was not run. If that fails, the record stays
    /// and later requests with the key are refused, which is safe.
    pub fn withdraw(&self, key: &RequestKey) {
        let Some(map) = self.context.cell_map() else {
            return;
        };
        let cell = map.cell_of_key(key.as_str());
        let withdraw = PeerRequest::WithdrawRequest(cell, key.clone(), self.nonce);
        let _answer = CellRouter::new(self.context).call(cell, withdraw);
    }
}
