//! Messages that daemons send over UDP.

use serde::Deserialize;
use serde::Serialize;

use crate::peer::PeerHeartbeat;
use crate::peer::SlowdownReport;
use crate::peer::TokenReport;
use sapphirestile_slots::HandoverMessage;

/// The content of a datagram, which may be lost, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// The state of the sender.
    Heartbeat(PeerHeartbeat),
    /// Totals of the tokens that the sender handed over.
    Handover(HandoverMessage),
    /// The tokens that the sender holds, and its demand.
    Tokens(TokenReport),
    /// Slowdowns of requests that were measured on the workers of a cell.
    Slowdowns(SlowdownReport),
}
