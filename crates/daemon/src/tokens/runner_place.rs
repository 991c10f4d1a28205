//! Where a runner lies and what it serves.

use sapphirestile_core::OperatorDocument;
use sapphirestile_core::RegionName;
use sapphirestile_core::ServiceName;
use sapphirestile_wire::vms::VmKind;
use sapphirestile_wire::vms::VmRecord;
use sapphirestile_wire::vms::VmState;

/// Where a runner lies and what it serves, by the list of VMs and the document.
#[derive(Clone, Copy, Debug)]
pub struct RunnerPlace<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The region; nothing when the runner's zone is not in the document.
    pub region: Option<&'a RegionName>,
    /// Whether it takes requests.
    pub takes_work: bool,
}

impl<'a> RunnerPlace<'a> {
    /// The place of a listed VM, if it is a runner.
    #[must_use]
    pub fn new(record: &'a VmRecord, document: &'a OperatorDocument) -> Option<Self> {
        if record.kind != VmKind::Runner {
            return None;
        }
        let zone = record.zone.as_str();
        let stays = record.state == VmState::Live;
        Some(Self {
            service: record.service.as_ref()?,
            region: region_of(zone, document),
            takes_work: stays && document.zone_takes_work(zone),
        })
    }
}

/// The region of a zone by the document.
pub(super) fn region_of<'a>(zone: &str, document: &'a OperatorDocument) -> Option<&'a RegionName> {
    document.zones.get(zone).map(|entry| &entry.region)
}
