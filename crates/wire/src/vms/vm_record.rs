//! One VM of the platform's list.

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
    /// The VM's name, unique and never given again.
    pub name: String,
    /// What the VM is for.
    pub kind: VmKind,
    /// Where it is reached: an IP number and a port.
    pub address: String,
    /// The zone that it lies in.
    pub zone: ZoneName,
    /// The rack, for workers.
    #[serde(default)]
    pub rack: Option<RackName>,
    /// The service, for runners.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// The worker on the same machine, for runners; absent means unknown.
    #[serde(default, skip_serializing_if = "SharedWorker::is_unnamed")]
    pub worker: SharedWorker,
    /// The size, for workers.
    #[serde(default)]
    pub size: Option<ResourceSize>,
    /// Whether the VM stays.
    pub state: VmState,
}
