//! A call to the actor of a cell.

use crossbeam::channel::Sender;

use sapphirestile_core::DaemonIdentity;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerRequest;

/// A call of an operator or a peer to the actor of a cell.
#[derive(Debug)]
pub struct CellCall {
    /// The daemon that sent the call; this daemon itself for a call that it makes locally.
    pub sender: DaemonIdentity,
    /// The request, which names the cell.
    pub request: PeerRequest,
    /// Receives the answer, once everything that it depends on is committed.
    pub reply: Sender<PeerAnswer>,
}
