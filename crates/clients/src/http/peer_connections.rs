//! The connection pool of one peer.

use std::sync::Arc;

use crate::http::PeerAddress;
use crate::http::connection_pool::ConnectionPool;

/// The maximum number of idle connections to a peer.
const IDLE_CONNECTIONS_MAX: usize = 64;

/// A pool of connections to one peer. Clones share the pool.
#[derive(Clone, Debug)]
pub struct PeerConnections {
    peer: PeerAddress,
    pool: Arc<ConnectionPool>,
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
        Self::with_pool(peer, ConnectionPool::new(IDLE_CONNECTIONS_MAX))
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
        Self::with_pool(peer, ConnectionPool::pinned())
    }

    fn with_pool(peer: PeerAddress, pool: ConnectionPool) -> Self {
        Self {
            peer,
            pool: Arc::new(pool),
        }
    }

    /// Returns the address of the peer.
    #[must_use]
    pub const fn peer(&self) -> PeerAddress {
        self.peer
    }

    pub(crate) fn pool(&self) -> &ConnectionPool {
        &self.pool
    }
}
