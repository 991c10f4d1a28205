//! The connections that are kept open to many peers.

use arc_swap::ArcSwap;

use crate::http::PeerAddress;
use crate::http::PeerConnections;
use sapphirestile_core::SortedTable;

/// The connections that are kept open to each of many peers.
///
/// Reading takes no lock; a peer that is called for the first time or is let go
/// replaces the table by a changed copy.
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
/// table.keep(&[second]);
/// assert_eq!(table.len(), 1);
/// table.forget(second);
/// assert!(table.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct ConnectionTable {
    rows: ArcSwap<SortedTable<PeerAddress, PeerConnections>>,
}

impl ConnectionTable {
    /// A table without peers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The connections to `peer`, shared by all who ask for them.
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
        // Another thread may have put its connections first.
        let rows = self.rows.load();
        rows.get(&peer).cloned().unwrap_or(fresh)
    }

    /// Lets go of every peer that is not among `peers`; its idle connections
    /// close, those in use when their calls end.
    pub fn keep(&self, peers: &[PeerAddress]) {
        self.rows.rcu(|rows| {
            let mut rows = SortedTable::clone(rows);
            rows.retain(|peer, _| peers.contains(peer));
            rows
        });
    }

    /// Lets go of one peer, as [`ConnectionTable::keep`] does of many.
    pub fn forget(&self, peer: PeerAddress) {
        self.rows.rcu(|rows| {
            let mut rows = SortedTable::clone(rows);
            rows.remove(&peer);
            rows
        });
    }

    /// How many peers the table has.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.load().len()
    }

    /// Whether the table has no peers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
