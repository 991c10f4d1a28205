//! The connection pools of many peers.

use arc_swap::ArcSwap;

use crate::http::PeerAddress;
use crate::http::PeerConnections;
use sapphirestile_core::SortedTable;

/// A table of connection pools, one for each peer.
///
/// Lookups take no lock. Adding or removing a peer replaces the table by a modified
/// copy.
///
/// # Examples
///
/// ```
/// use sapphirestile_clients::http::ConnectionTable;
/// use sapphirestile_clients::http::PeerAddress;
///
/// let table = ConnectionTable::new();
/// let first = PeerAddress::try_from("127.0.0.1:8001").unwrap();
/// let second = PeerAddress::try_from("127.0.0.1:8002").unwrap();
/// assert_eq!(table.connections(first).peer(), first);
/// assert_eq!(table.connections(second).peer(), second);
/// table.retain(&[second]);
/// assert_eq!(table.len(), 1);
/// table.remove(second);
/// assert!(table.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct ConnectionTable {
    rows: ArcSwap<SortedTable<PeerAddress, PeerConnections>>,
}

impl ConnectionTable {
    /// Creates a table without peers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the shared connections to `peer`, adding the peer if it is not in the table.
    #[must_use]
    pub fn connections(&self, peer: PeerAddress) -> PeerConnections {
        if let Some(connections) = self.rows.load().get(&peer) {
            return connections.clone();
        }
        let fresh = PeerConnections::new(peer);
        self.rows.rcu(|rows| {
            let mut rows = SortedTable::clone(rows);
            rows.get_or_insert_with(peer, || fresh.clone());
            rows
        });
        // Another thread may have added the peer first.
        let rows = self.rows.load();
        rows.get(&peer).cloned().unwrap_or(fresh)
    }

    /// Removes every peer that is not in `peers`. Idle connections to it are closed; those
    /// in use are closed when their calls end.
    pub fn retain(&self, peers: &[PeerAddress]) {
        self.rows.rcu(|rows| {
            let mut rows = SortedTable::clone(rows);
            rows.retain(|peer, _| peers.contains(peer));
            rows
        });
    }

    /// Removes one peer and closes its connections as [`ConnectionTable::retain`] does.
    pub fn remove(&self, peer: PeerAddress) {
        self.rows.rcu(|rows| {
            let mut rows = SortedTable::clone(rows);
            rows.remove(&peer);
            rows
        });
    }

    /// Returns the number of peers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.load().len()
    }

    /// Whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
