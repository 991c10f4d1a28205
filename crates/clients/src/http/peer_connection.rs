//! One connection to a peer.

use std::time::Duration;

use ureq::Agent;
use ureq::config::AutoHeaderValue;

use crate::http::PeerAddress;
use crate::http::peer_connector::PeerConnector;
use crate::http::peer_resolver::PeerResolver;

/// The maximum idle time of a connection; after that it is closed instead of reused.
const IDLE_AGE_MAX: Duration = Duration::from_secs(10);

/// The maximum size of a response head, in bytes.
const RESPONSE_HEAD_MAX_BYTES: usize = 16 * 1024;

/// The size of a connection's read buffer, which has to hold a response head.
const INPUT_BUFFER_BYTES: usize = RESPONSE_HEAD_MAX_BYTES + 1_024;

/// The size of a connection's write buffer, which has to hold a request head.
const OUTPUT_BUFFER_BYTES: usize = 12 * 1_024;

/// One connection to a peer, in the form of an agent of the HTTP library that keeps one. The
/// first call opens it, and a later one replaces it if the peer has closed it, unless it is
/// pinned.
#[derive(Debug)]
pub(crate) struct PeerConnection {
    agent: Agent,
}

impl PeerConnection {
    /// Creates a connection that the first call opens.
    pub(crate) fn new(peer: PeerAddress, is_pinned: bool) -> Self {
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
            .max_idle_connections(1)
            .max_idle_connections_per_host(1)
            .max_idle_age(IDLE_AGE_MAX)
            .build();
        let connector = if is_pinned {
            PeerConnector::pinned()
        } else {
            PeerConnector::default()
        };
        let agent = Agent::with_parts(config, connector, PeerResolver::new(peer));
        Self { agent }
    }

    pub(crate) const fn agent(&self) -> &Agent {
        &self.agent
    }
}
