//! An entry of the platform's list of VMs.

use serde::Deserialize;
use serde::Serialize;

use crate::vms::SharedWorker;
use crate::vms::VmKind;
use crate::vms::VmState;
use sapphirestile_core::RackName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::ServiceName;
use sapphirestile_core::ZoneName;

/// One VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM's name, unique and never reused.
    pub name: String,
    /// The purpose of the VM.
    pub kind: VmKind,
    /// The IP address and port at which the VM takes calls.
    pub address: String,
    /// The zone of the VM.
    pub zone: ZoneName,
    /// The rack; given for workers.
    #[serde(default)]
    pub rack: Option<RackName>,
    /// The service; given for runners.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// For runners, the worker on the same machine; unknown when absent.
    #[serde(default, skip_serializing_if = "SharedWorker::is_unnamed")]
    pub worker: SharedWorker,
    /// The resources of the VM; given for workers.
    #[serde(default)]
    pub size: Option<ResourceSize>,
    /// Whether the VM accepts new work.
    pub state: VmState,
}
