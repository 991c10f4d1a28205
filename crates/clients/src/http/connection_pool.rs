//! Opening of connections and their reuse.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use crate::http::IdleConnections;
use crate::http::PeerAddress;
use crate::http::peer_connection::PeerConnection;

/// Idle connections to a peer, and whether more may be opened.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    idle: IdleConnections<PeerConnection>,
    /// Whether only one connection is ever opened.
    is_pinned: bool,
    has_opened: AtomicBool,
}

impl ConnectionPool {
    /// Creates a pool that keeps up to `idle_max` connections.
    pub(crate) fn new(idle_max: usize) -> Self {
        Self {
            idle: IdleConnections::new(idle_max),
            is_pinned: false,
            has_opened: AtomicBool::new(false),
        }
    }

    /// Creates a pool that opens one connection and never another.
    pub(crate) fn pinned() -> Self {
        Self {
            is_pinned: true,
            ..Self::new(1)
        }
    }

    /// Takes an idle connection, or one that is opened by the next call on it. `None` if no
    /// other may be opened.
    pub(crate) fn take(&self, peer: PeerAddress) -> Option<PeerConnection> {
        if let Some(connection) = self.idle.take() {
            return Some(connection);
        }
        let has_opened = self.has_opened.swap(true, Ordering::AcqRel);
        let may_open = !(self.is_pinned && has_opened);
        may_open.then(|| PeerConnection::new(peer, self.is_pinned))
    }

    /// Keeps a connection on which a call was answered.
    pub(crate) fn put(&self, connection: PeerConnection) {
        self.idle.put(connection);
    }

    /// Records that a call which began at `started` had no complete answer.
    pub(crate) fn record_silence(&self, started: Instant) {
        self.idle.silence().record(started, Instant::now());
    }
}
