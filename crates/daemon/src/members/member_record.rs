//! What the store holds of a daemon.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::ZoneName;

/// A daemon's registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The daemon's zone.
    pub zone: ZoneName,
    /// Where the daemon takes calls and heartbeats of peers.
    pub address: SocketAddr,
    /// Tells this registration from every other.
    pub nonce: u64,
}
