//! What a served list of VMs holds.

use crate::vms::VmCounts;
use crate::vms::VmFaults;
use crate::vms::VmState;

/// What a served list of VMs holds.
#[derive(Debug, Default)]
pub(super) struct ServedList {
    pub(super) state: VmState,
    pub(super) faults: VmFaults,
    pub(super) counts: VmCounts,
}
