//! What a daemon tells every member several times a second.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::peer::MemberState;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::ConfigRevision;

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Where the sender takes calls of peers.
    pub address: SocketAddr,
    /// How far the sender's life has come.
    pub state: MemberState,
    /// The revision of the configuration in force at the sender.
    pub revision: ConfigRevision,
    /// How long ago the store last answered the sender, in milliseconds.
    pub store_silent_ms: u64,
    /// The cells that the sender owns.
    pub cells: Vec<(CellNumber, CellEpoch)>,
}
