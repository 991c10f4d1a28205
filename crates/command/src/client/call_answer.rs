//! A daemon's answer.

use std::net::SocketAddr;

/// Status and body of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallAnswer {
    /// The daemon that answered.
    pub daemon: SocketAddr,
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}
