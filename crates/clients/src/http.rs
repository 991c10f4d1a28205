//! HTTP calls whose failures state whether the call may have taken effect.
//!
//! An [`HttpClient`] sends a [`CallRequest`] to a [`PeerAddress`] within
//! [`CallLimits`] and returns an [`HttpResponse`] only if it is complete. A failed
//! call is a [`CallError`]: `NotSent` when no byte of the request can have
//! reached the peer, `Unknown` otherwise. Connections to a peer are pooled in
//! [`PeerConnections`], those to many peers in a [`ConnectionTable`]. Between two calls each is an
//! [`IdleConnection`] among [`IdleConnections`], and is used again only if the [`SilenceMark`] of
//! its peer casts no doubt on it. A response that may take long is read by a download, which
//! ends with a [`DownloadOutcome`].

mod address_error;
mod call_error;
mod call_limits;
mod call_request;
mod connect_error;
mod connection_pool;
mod connection_table;
mod download_outcome;
mod header_view;
mod http_client;
mod http_response;
mod idle_connection;
mod idle_connections;
mod line_reader;
mod peer_address;
mod peer_connection;
mod peer_connections;
mod peer_connector;
mod peer_resolver;
mod request_sender;
mod response_framing;
mod silence_mark;

pub use address_error::AddressError;
pub use call_error::CallError;
pub use call_limits::CallLimits;
pub use call_request::CallRequest;
pub use connection_table::ConnectionTable;
pub use download_outcome::DownloadOutcome;
pub use header_view::HeaderView;
pub use http_client::HttpClient;
pub use http_response::HttpResponse;
pub use idle_connection::IdleConnection;
pub use idle_connections::IdleConnections;
pub use line_reader::LineReader;
pub use peer_address::PeerAddress;
pub use peer_connections::PeerConnections;
pub use silence_mark::SilenceMark;
