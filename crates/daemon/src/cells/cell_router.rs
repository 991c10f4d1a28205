//! Routes calls to the owners of cells.

use std::time::Duration;

use crossbeam::channel::bounded;

use crate::cells::CellCall;
use crate::cells::CellEvent;
use crate::cells::CellHandle;
use crate::context::DaemonContext;
use crate::peers::PeerClient;
use sapphirestile_core::CellNumber;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerFault;
use sapphirestile_wire::peer::PeerRequest;

const ACTOR_TIMEOUT: Duration = Duration::from_secs(4);

/// Routes a call to the actor of its cell, in this daemon or at a peer.
pub struct CellRouter<'c> {
    context: &'c DaemonContext,
}

impl<'c> CellRouter<'c> {
    /// Creates a router that uses the cells and members of `context`.
    #[must_use]
    pub const fn new(context: &'c DaemonContext) -> Self {
        Self { context }
    }

    /// Calls the owner of `cell`, in this daemon or at the peer whose heartbeats claim
    /// the cell with the highest epoch.
    ///
    /// Returns [`PeerFault::NotRun`] when no daemon is known to own the cell or the owner
    /// could not be connected to, [`PeerFault::NotOwner`] when the owner has just lost the
    /// cell, and [`PeerFault::Unknown`] when the call was made but not answered in time.
    #[must_use]
    pub fn call(&self, cell: CellNumber, request: PeerRequest) -> PeerAnswer {
        if self.context.cells.load().get(cell).is_some() {
            return self.call_local(cell, &self.context.identity, request);
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

    /// Calls the actor of `cell` in this daemon; never forwards the call to a peer.
    ///
    /// Returns [`PeerFault::NotOwner`] when this daemon does not own the cell.
    #[must_use]
    pub fn call_local(
        &self,
        cell: CellNumber,
        sender: &DaemonIdentity,
        request: PeerRequest,
    ) -> PeerAnswer {
        let cells = self.context.cells.load();
        match cells.get(cell) {
            Some(handle) => call_actor(handle, sender, request),
            None => PeerAnswer::Fault(PeerFault::NotOwner),
        }
    }
}

fn call_actor(handle: &CellHandle, sender: &DaemonIdentity, request: PeerRequest) -> PeerAnswer {
    let (reply, answers) = bounded(1);
    let call = CellCall {
        sender: sender.clone(),
        request,
        reply,
    };
    if handle.events.send(CellEvent::Called(call)).is_err() {
        return PeerAnswer::Fault(PeerFault::NotOwner);
    }
    answers
        .recv_timeout(ACTOR_TIMEOUT)
        .unwrap_or(PeerAnswer::Fault(PeerFault::Unknown))
}
