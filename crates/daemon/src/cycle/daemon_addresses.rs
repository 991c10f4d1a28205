//! Where a daemon is reached.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The ports of a daemon, as bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonAddresses {
    /// The callers' port.
    pub callers: SocketAddr,
    /// The operators' port.
    pub operators: SocketAddr,
    /// The peers' port, TCP and UDP.
    pub peers: SocketAddr,
}
