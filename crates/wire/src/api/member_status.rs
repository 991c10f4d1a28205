//! The status of a peer daemon.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;

/// Another member, as the answering daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member's name.
    pub daemon: DaemonName,
    /// The incarnation of the member's process.
    pub incarnation: IncarnationNumber,
    /// The address at which the member takes calls of its peers.
    pub address: SocketAddr,
    /// Milliseconds since the member's last heartbeat arrived; the maximum of the type if
    /// none has arrived yet.
    pub silent_ms: u64,
}
