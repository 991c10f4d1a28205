//! What daemons send each other over UDP.

use serde::Deserialize;
use serde::Serialize;

use crate::peer::PeerHeartbeat;
use crate::peer::SlowdownReport;
use crate::peer::TokenReport;
use sapphirestile_slots::HandoverMessage;

/// A datagram. Any may be lost, repeated or overtaken by another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// How the sender is.
    Heartbeat(PeerHeartbeat),
    /// Tokens that the sender handed over.
    Handover(HandoverMessage),
    /// Tokens that the sender holds and wants.
    Tokens(TokenReport),
    /// How much requests were slowed beside the workers of a cell.
    Slowdowns(SlowdownReport),
}
