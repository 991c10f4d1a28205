//! What a served store holds.

use crate::store::StoreCounts;
use crate::store::StoreFaults;
use crate::store::StoreState;

/// What a served store holds.
#[derive(Debug, Default)]
pub(super) struct ServedStore {
    pub(super) state: StoreState,
    pub(super) faults: StoreFaults,
    pub(super) counts: StoreCounts,
    pub(super) stopped: bool,
}
