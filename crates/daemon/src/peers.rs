//! Calls between daemons.
//!
//! A [`PeerServer`] takes calls on the daemon's peer port and brings each to the
//! keeper of its cell, each connection with a [`ConnectionPass`]; a [`PeerClient`]
//! makes them. Frames travel through a
//! [`FrameStream`], which bounds their size before it reads them.

mod connection_pass;
mod frame_stream;
mod peer_client;
mod peer_server;

pub use connection_pass::ConnectionPass;
pub use frame_stream::FrameStream;
pub use peer_client::PeerClient;
pub use peer_server::CONNECTIONS_MAX;
pub use peer_server::PeerServer;
