//! The currently published routing table.

use std::sync::Arc;

use arc_swap::ArcSwap;
use arc_swap::Guard;

use crate::RoutingTable;

/// The currently published routing table, with many readers, one writer and no lock.
///
/// # Examples
///
/// ```
/// use sapphirestile_routing::PublishedTable;
/// use sapphirestile_routing::RoutingTable;
///
/// let table = PublishedTable::default();
/// table.publish(RoutingTable::default());
/// assert_eq!(table.load().rows().len(), 0);
/// ```
#[derive(Debug, Default)]
pub struct PublishedTable {
    current: ArcSwap<RoutingTable>,
}

impl PublishedTable {
    /// The current table. Hold the guard only for the duration of one routing decision.
    #[must_use]
    pub fn load(&self) -> Guard<Arc<RoutingTable>> {
        self.current.load()
    }

    /// Replaces the current table with `table`.
    pub fn publish(&self, table: RoutingTable) {
        self.current.store(Arc::new(table));
    }
}
