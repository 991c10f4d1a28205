//! What a daemon knows of a peer.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;

/// One member as the answering daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub daemon: DaemonName,
    /// Its incarnation.
    pub incarnation: IncarnationNumber,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Milliseconds since its last heartbeat.
    pub silent_ms: u64,
}
