//! The registration row of a daemon.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::ZoneName;

/// The registration of a daemon, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The availability zone that the daemon runs in, from its settings.
    pub zone: ZoneName,
    /// The address of the daemon for calls and datagrams of peers.
    pub address: SocketAddr,
    /// Distinguishes this registration from all others, so that a retry recognises its own
    /// earlier write.
    pub nonce: u64,
}
