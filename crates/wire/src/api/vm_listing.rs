//! The list of VMs as a daemon has it.

use serde::Deserialize;
use serde::Serialize;

use crate::vms::VmRecord;

/// Answer of `GET /v1/vms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// Milliseconds since the daemon read the list.
    pub age_ms: u64,
    /// The VMs.
    pub vms: Vec<VmRecord>,
}
