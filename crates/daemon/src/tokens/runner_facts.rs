//! What the rebalancing of tokens needs to know about a runner.

use sapphirestile_core::OperatorDocument;
use sapphirestile_core::RegionName;
use sapphirestile_core::ServiceName;
use sapphirestile_wire::vms::VmKind;
use sapphirestile_wire::vms::VmRecord;
use sapphirestile_wire::vms::VmState;

/// The service and the region of a runner, from the list of VMs and the document.
#[derive(Clone, Copy, Debug)]
pub struct RunnerFacts<'a> {
    /// The service that the runner serves.
    pub service: &'a ServiceName,
    /// The region of the runner's zone; `None` when the document does not have the zone.
    pub region: Option<&'a RegionName>,
    /// Whether the runner takes requests: its VM is live and its zone takes work.
    pub takes_work: bool,
}

impl<'a> RunnerFacts<'a> {
    /// Reads the facts of a listed VM; `None` when it is not a runner or has no service.
    #[must_use]
    pub fn new(record: &'a VmRecord, document: &'a OperatorDocument) -> Option<Self> {
        if record.kind != VmKind::Runner {
            return None;
        }
        let zone = record.zone.as_str();
        let is_live = record.state == VmState::Live;
        Some(Self {
            service: record.service.as_ref()?,
            region: region_of(zone, document),
            takes_work: is_live && document.zone_takes_work(zone),
        })
    }
}

/// The region of a zone; `None` when the document does not have the zone.
pub(super) fn region_of<'a>(zone: &str, document: &'a OperatorDocument) -> Option<&'a RegionName> {
    document.zones.get(zone).map(|entry| &entry.region)
}
