//! The addresses of a daemon's ports.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The addresses of a daemon's ports as bound. When the settings give port 0, these hold
/// the port that the operating system chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonAddresses {
    /// The HTTP port for callers.
    pub callers: SocketAddr,
    /// The HTTP port for operators, with the console and the metrics.
    pub operators: SocketAddr,
    /// The port for other daemons, TCP and UDP.
    pub peers: SocketAddr,
}
