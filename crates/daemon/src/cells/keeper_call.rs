//! A call to the keeper of a cell.

use crossbeam::channel::Sender;

use sapphirestile_core::DaemonIdentity;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerRequest;

/// A call to the keeper of a cell.
#[derive(Debug)]
pub struct KeeperCall {
    /// Who calls.
    pub caller: DaemonIdentity,
    /// What is asked.
    pub request: PeerRequest,
    /// Where the answer goes.
    pub reply: Sender<PeerAnswer>,
}
