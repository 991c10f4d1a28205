//! Calls over HTTP, with what is known of their effect.
//!
//! An [`HttpClient`] sends a [`CallRequest`] to a [`PeerAddress`] within
//! [`CallLimits`] and returns an [`HttpAnswer`] only when it is whole. A failed
//! call is a [`CallError`]: `NotSent` when no byte of the request can have
//! reached the peer, `Unknown` otherwise. Connections are kept open as
//! [`PeerConnections`], those to many peers in a [`ConnectionTable`].

mod address_fault;
mod answer_framing;
mod call_error;
mod call_limits;
mod call_request;
mod connect_fault;
mod connection_table;
mod header_view;
mod http_answer;
mod http_client;
mod line_reader;
mod peer_address;
mod peer_connections;
mod peer_connector;
mod peer_resolver;
mod request_sender;

pub use address_fault::AddressFault;
pub use call_error::CallError;
pub use call_limits::CallLimits;
pub use call_request::CallRequest;
pub use connection_table::ConnectionTable;
pub use header_view::HeaderView;
pub use http_answer::HttpAnswer;
pub use http_client::HttpClient;
pub use line_reader::LineReader;
pub use peer_address::PeerAddress;
pub use peer_connections::PeerConnections;
