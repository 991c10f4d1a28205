//! What a read of the list of VMs gave.

use crate::vms::ListTag;
use sapphirestile_wire::vms::VmRecord;

/// What a read of the list of VMs gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VmListing {
    /// The list is still the one with the tag that was asked with.
    Unchanged,
    /// The whole list.
    Whole {
        /// The VMs.
        records: Vec<VmRecord>,
        /// What to ask with the next time; nothing when the platform gives no tags.
        tag: Option<ListTag>,
    },
}
