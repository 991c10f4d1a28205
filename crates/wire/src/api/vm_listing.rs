//! A daemon's copy of the list of VMs.

use serde::Deserialize;
use serde::Serialize;

use crate::vms::VmRecord;

/// Response to `GET /v1/vms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// Milliseconds since the daemon read the list from the platform; the maximum of the type
    /// before the first read.
    pub age_ms: u64,
    /// The listed VMs.
    pub vms: Vec<VmRecord>,
}
