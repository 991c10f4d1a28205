//! The connection pool of one peer.

use std::time::Duration;

use ureq::Agent;
use ureq::config::AutoHeaderValue;

use crate::http::PeerAddress;
use crate::http::peer_connector::PeerConnector;
use crate::http::peer_resolver::PeerResolver;

/// The maximum number of idle connections to a peer.
const IDLE_CONNECTIONS_MAX: usize = 64;

/// The maximum idle time of a connection; after that it is closed instead of reused.
const IDLE_AGE_MAX: Duration = Duration::from_secs(10);

/// The maximum size of a response head, in bytes.
const RESPONSE_HEAD_MAX_BYTES: usize = 16 * 1024;

/// The size of a connection's read buffer, which has to hold a response head.
const INPUT_BUFFER_BYTES: usize = RESPONSE_HEAD_MAX_BYTES + 1_024;

/// The size of a connection's write buffer, which has to hold a request head.
const OUTPUT_BUFFER_BYTES: usize = 12 * 1_024;

/// A pool of connections to one peer. Clones share the pool.
#[derive(Clone, Debug)]
pub struct PeerConnections {
    peer: PeerAddress,
    agent: Agent,
}

impl PeerConnections {
    /// Creates an empty pool; connections are opened by calls.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_clients::http::PeerAddress;
    /// use sapphirestile_clients::http::PeerConnections;
    ///
    /// let peer = PeerAddress::try_from("127.0.0.1:2379").unwrap();
    /// assert_eq!(PeerConnections::new(peer).peer(), peer);
    /// ```
    #[must_use]
    pub fn new(peer: PeerAddress) -> Self {
        Self::with_connector(peer, PeerConnector::default())
    }

    /// Creates a pool that opens one connection and never another, so that all its calls reach
    /// the same process. Once that connection is closed or in use, calls fail with
    /// [`CallError::NotSent`](crate::http::CallError::NotSent).
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_clients::http::PeerAddress;
    /// use sapphirestile_clients::http::PeerConnections;
    ///
    /// let peer = PeerAddress::try_from("127.0.0.1:2379").unwrap();
    /// assert_eq!(PeerConnections::pinned(peer).peer(), peer);
    /// ```
    #[must_use]
    pub fn pinned(peer: PeerAddress) -> Self {
        Self::with_connector(peer, PeerConnector::pinned())
    }

    fn with_connector(peer: PeerAddress, connector: PeerConnector) -> Self {
        let config = Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .allow_non_standard_methods(true)
            .user_agent(AutoHeaderValue::None)
            .accept(AutoHeaderValue::None)
            .accept_encoding(AutoHeaderValue::None)
            .max_response_header_size(RESPONSE_HEAD_MAX_BYTES)
            .input_buffer_size(INPUT_BUFFER_BYTES)
            .output_buffer_size(OUTPUT_BUFFER_BYTES)
            .max_idle_connections(IDLE_CONNECTIONS_MAX)
            .max_idle_connections_per_host(IDLE_CONNECTIONS_MAX)
            .max_idle_age(IDLE_AGE_MAX)
            .build();
        let agent = Agent::with_parts(config, connector, PeerResolver::new(peer));
        Self { peer, agent }
    }

    /// Returns the address of the peer.
    #[must_use]
    pub const fn peer(&self) -> PeerAddress {
        self.peer
    }

    pub(crate) const fn agent(&self) -> &Agent {
        &self.agent
    }
}
