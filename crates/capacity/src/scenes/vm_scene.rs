//! Lists of VMs in any size.

use sapphirestile_core::RackName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::ZoneName;
use sapphirestile_wire::vms::SharedWorker;
use sapphirestile_wire::vms::VmKind;
use sapphirestile_wire::vms::VmRecord;
use sapphirestile_wire::vms::VmState;

use crate::scenes::worker_name;

const WORKERS_PER_RACK: usize = 20;
/// Coprime to every count that is measured, so that each place comes once.
const SHUFFLE_STEP: usize = 7_919;

/// Lists of workers.
pub struct VmScene;

impl VmScene {
    /// Workers in the order of their names.
    pub fn sorted(count: usize) -> Vec<VmRecord> {
        (0..count).map(record).collect()
    }

    /// The same workers in another order.
    pub fn shuffled(count: usize) -> Vec<VmRecord> {
        let places = (0..count).map(|place| place * SHUFFLE_STEP % count);
        places.map(record).collect()
    }
}

fn record(place: usize) -> VmRecord {
    VmRecord {
        name: worker_name(place).as_str().to_owned(),
        kind: VmKind::Worker,
        address: format!("10.{}.{}.7:9100", place / 250, place % 250),
        zone: ZoneName::try_from("near-a").expect("a valid name"),
        rack: RackName::try_from(format!("rack-{}", place / WORKERS_PER_RACK)).ok(),
        service: None,
        worker: SharedWorker::Unknown,
        size: Some(ResourceSize {
            cpu_milli: 64_000,
            memory_mb: 250_000,
            accelerators: 1,
        }),
        state: VmState::Live,
    }
}
