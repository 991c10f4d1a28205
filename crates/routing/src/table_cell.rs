//! The place where the routing table in force is found.

use std::sync::Arc;

use arc_swap::ArcSwap;
use arc_swap::Guard;

use crate::RoutingTable;

/// Holds the routing table in force: many readers, one writer, no lock.
///
/// # Examples
///
/// ```
/// use sapphirestile_routing::RoutingTable;
/// use sapphirestile_routing::TableCell;
///
/// let cell = TableCell::default();
/// cell.publish(RoutingTable::default());
/// assert_eq!(cell.load().rows().len(), 0);
/// ```
#[derive(Debug, Default)]
pub struct TableCell {
    current: ArcSwap<RoutingTable>,
}

impl TableCell {
    /// The table in force, for the length of one decision.
    #[must_use]
    pub fn load(&self) -> Guard<Arc<RoutingTable>> {
        self.current.load()
    }

    /// Puts `table` in force.
    pub fn publish(&self, table: RoutingTable) {
        self.current.store(Arc::new(table));
    }
}
