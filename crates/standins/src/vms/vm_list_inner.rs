//! The state of a list service behind its lock.

use crate::vms::VmListCounts;
use crate::vms::VmListFaults;
use crate::vms::VmListState;

/// The state of a [`VmListService`](crate::vms::VmListService) behind its lock.
#[derive(Debug, Default)]
pub(super) struct VmListInner {
    pub(super) state: VmListState,
    pub(super) faults: VmListFaults,
    pub(super) counts: VmListCounts,
}
