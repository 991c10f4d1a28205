//! The state of a store service behind its lock.

use crate::store::StoreCounts;
use crate::store::StoreFaults;
use crate::store::StoreState;

/// The state of a [`StoreService`](crate::store::StoreService) behind its lock.
#[derive(Debug, Default)]
pub(super) struct StoreInner {
    pub(super) state: StoreState,
    pub(super) faults: StoreFaults,
    pub(super) counts: StoreCounts,
    /// Whether the server shuts down, so that no watch may block any longer.
    pub(super) stopped: bool,
}
