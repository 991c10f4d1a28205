//! HTTP responses of daemons.

use std::net::SocketAddr;

/// The HTTP response of a daemon, whatever its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorResponse {
    /// The operator port that sent the response.
    pub daemon: SocketAddr,
    /// The HTTP status code.
    pub status: u16,
    /// The whole body, usually JSON.
    pub body: Vec<u8>,
}
