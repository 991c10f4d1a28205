//! Brings calls to the keepers of their cells.

use std::time::Duration;

use crossbeam::channel::bounded;

use crate::cells::KeeperCall;
use crate::cells::KeeperEvent;
use crate::cells::KeeperHandle;
use crate::context::DaemonContext;
use crate::peers::PeerClient;
use sapphirestile_core::CellNumber;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerFault;
use sapphirestile_wire::peer::PeerRequest;

const KEEPER_WAIT: Duration = Duration::from_secs(4);

/// Brings a call to the keeper of its cell, here or at a peer.
pub struct CellDesk<'c> {
    context: &'c DaemonContext,
}

impl<'c> CellDesk<'c> {
    /// A desk for one daemon.
    #[must_use]
    pub const fn new(context: &'c DaemonContext) -> Self {
        Self { context }
    }

    /// Calls the owner of `cell`, wherever it is.
    #[must_use]
    pub fn call(&self, cell: CellNumber, request: PeerRequest) -> PeerAnswer {
        if self.context.keepers.load().keeper(cell).is_some() {
            return self.call_here(cell, &self.context.identity, request);
        }
        let now = self.context.clock.now();
        let suspect_ms = self.context.settings.limits.suspect_ms;
        let members = self.context.members.load();
        let Some((daemon, _)) = members.owner_of(cell, now, suspect_ms) else {
            let reason = format!("no daemon owns cell {cell} at present");
            return PeerAnswer::Fault(PeerFault::NotRun(reason));
        };
        match members.row(daemon.as_str()) {
            Some(row) => PeerClient::new(self.context).call(row.address, &request),
            None => PeerAnswer::Fault(PeerFault::NotOwner),
        }
    }

    /// Calls the keeper of `cell` in this daemon, and no other.
    #[must_use]
    pub fn call_here(
        &self,
        cell: CellNumber,
        caller: &DaemonIdentity,
        request: PeerRequest,
    ) -> PeerAnswer {
        let keepers = self.context.keepers.load();
        match keepers.keeper(cell) {
            Some(handle) => call_keeper(handle, caller, request),
            None => PeerAnswer::Fault(PeerFault::NotOwner),
        }
    }
}

fn call_keeper(handle: &KeeperHandle, caller: &DaemonIdentity, request: PeerRequest) -> PeerAnswer {
    let (reply, answers) = bounded(1);
    let call = KeeperCall {
        caller: caller.clone(),
        request,
        reply,
    };
    if handle.events.send(KeeperEvent::Called(call)).is_err() {
        return PeerAnswer::Fault(PeerFault::NotOwner);
    }
    answers
        .recv_timeout(KEEPER_WAIT)
        .unwrap_or(PeerAnswer::Fault(PeerFault::Unknown))
}
