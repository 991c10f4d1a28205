//! Idle connections to a peer.

use std::time::Instant;

use crossbeam::queue::SegQueue;

use crate::http::IdleConnection;
use crate::http::SilenceMark;

/// Idle connections to one peer, the one that was idle longest first.
///
/// # Examples
///
/// ```
/// use sapphirestile_clients::http::IdleConnections;
///
/// let connections = IdleConnections::new(2);
/// connections.put("first");
/// connections.put("second");
/// connections.put("one too many");
/// assert_eq!(connections.take(), Some("first"));
/// assert_eq!(connections.take(), Some("second"));
/// assert_eq!(connections.take(), None);
/// ```
#[derive(Debug)]
pub struct IdleConnections<C> {
    queue: SegQueue<IdleConnection<C>>,
    /// The maximum number of connections. Puts at the same time may exceed it.
    len_max: usize,
    silence: SilenceMark,
}

impl<C> IdleConnections<C> {
    /// Creates an empty pool that keeps up to `len_max` connections.
    #[must_use]
    pub fn new(len_max: usize) -> Self {
        Self {
            queue: SegQueue::new(),
            len_max,
            silence: SilenceMark::new(),
        }
    }

    /// Takes a connection of which nothing suggests that it has failed; the others are closed.
    pub fn take(&self) -> Option<C> {
        let idle = std::iter::from_fn(|| self.queue.pop());
        let mut reused = idle.filter_map(|idle| idle.reuse(&self.silence));
        reused.next()
    }

    /// Keeps a connection on which the peer has just answered, or closes it if there are enough.
    pub fn put(&self, connection: C) {
        if self.queue.len() < self.len_max {
            let idle = IdleConnection::new(connection, Instant::now());
            self.queue.push(idle);
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        while self.queue.pop().is_some() {}
    }

    /// Which connections to the peer, of this pool and others, may have failed.
    pub const fn silence(&self) -> &SilenceMark {
        &self.silence
    }
}
