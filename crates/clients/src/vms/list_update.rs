//! The result of reading the list of VMs.

use crate::vms::ListTag;
use sapphirestile_wire::vms::VmRecord;

/// The result of reading the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The list still has the tag given in the request.
    Unchanged,
    /// The complete list.
    Full {
        /// All listed VMs.
        records: Vec<VmRecord>,
        /// The tag to give in the next request; `None` when the platform does not use tags.
        tag: Option<ListTag>,
    },
}
