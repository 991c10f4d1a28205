//! Heartbeats between daemons.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::peer::MemberState;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::ConfigRevision;

/// The state that a daemon sends to every member several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The address at which the sender takes calls of its peers.
    pub address: SocketAddr,
    /// The sender's life cycle state.
    pub state: MemberState,
    /// The revision of the sender's active configuration.
    pub revision: ConfigRevision,
    /// The time since the store last answered the sender, in milliseconds.
    pub store_silent_ms: u64,
    /// The cells that the sender owns, each with the epoch of its claim.
    pub cells: Vec<(CellNumber, CellEpoch)>,
}
