//! The record of one try of a request.

use crate::callers::CallerReply;
use crate::cells::CellRouter;
use crate::context::DaemonContext;
use sapphirestile_core::RequestKey;
use sapphirestile_routing::RecordProof;
use sapphirestile_routing::RequestAttributes;
use sapphirestile_routing::RouteRefusal;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerRequest;

/// The record of one try, in the journal of the cell of the request's key.
pub struct TryRecord<'r> {
    context: &'r DaemonContext,
    /// Tells this try from others with the same key.
    nonce: u64,
}

impl<'r> TryRecord<'r> {
    /// The record of the try that `nonce` names.
    #[must_use]
    pub const fn new(context: &'r DaemonContext, nonce: u64) -> Self {
        Self { context, nonce }
    }

    /// Has the request recorded. Whatever goes wrong here, it is not sent.
    ///
    /// # Errors
    ///
    /// The caller's reply, when there is no record of this try.
    pub fn commit(&self, facts: &RequestAttributes) -> Result<RecordProof, CallerReply> {
        let not_run = || CallerReply::NotRun(RouteRefusal::NoRecord);
        let key = facts.key.clone().ok_or_else(not_run)?;
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

    /// Takes the record of a request that was not run back. One that cannot be
    /// taken back stays: the key is then refused, which is safe.
    pub fn withdraw(&self, key: &RequestKey) {
        let Some(map) = self.context.cell_map() else {
            return;
        };
        let cell = map.cell_of_key(key.as_str());
        let withdraw = PeerRequest::WithdrawRequest(cell, key.clone(), self.nonce);
        let _answer = CellRouter::new(self.context).call(cell, withdraw);
    }
}
