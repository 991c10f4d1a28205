//! Calls between daemons.
//!
//! A [`PeerServer`] serves calls on the daemon's peer port and passes each to the actor of
//! its cell. A [`ConnectionPermit`] for each connection limits their number. A
//! [`PeerClient`] makes calls. Both exchange sealed frames over a [`FrameStream`], which
//! checks the size of a frame before it reads it.

mod connection_permit;
mod frame_stream;
mod peer_client;
mod peer_server;

pub use connection_permit::ConnectionPermit;
pub use frame_stream::FrameStream;
pub use peer_client::PeerClient;
pub use peer_server::CONNECTIONS_MAX;
pub use peer_server::PeerServer;
