//! The list of VMs.

use sapphirestile_cells::CellMap;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::OperatorDocument;
use sapphirestile_daemon::vms::VmTable;
use sapphirestile_wire::vms::VmRecord;

use crate::ResultTable;
use crate::report::TimeSample;
use crate::report::nanos_of;
use crate::scenes::VmScene;

const CELLS: u16 = 64;
const DOCUMENT: &str = "[region near]\nlink_mbit = 30\n[zone near-a]\nregion = near\nstate = in\n";

pub fn list_times(rounds: usize) -> ResultTable {
    let mut table = ResultTable::new(
        "List of VMs, us: median (least to most)",
        &[
            "workers",
            "decode JSON",
            "table, list in order",
            "table, list in no order",
            "pick a cell's workers",
        ],
    );
    let document = OperatorDocument::try_from(DOCUMENT).expect("a valid document");
    for count in [500, 2_000, 8_700] {
        let sorted = VmScene::sorted(count);
        let shuffled = VmScene::shuffled(count);
        let body = serde_json::to_vec(&sorted).expect("a list is encodable");
        let decode = TimeSample::gather(rounds, || {
            nanos_of(1, || serde_json::from_slice::<Vec<VmRecord>>(&body))
        });
        let ordered = TimeSample::gather(rounds, || build(&sorted));
        let unordered = TimeSample::gather(rounds, || build(&shuffled));
        let vms = VmTable::new(sorted.clone(), MonoTime::default());
        let pick = TimeSample::gather(rounds, || pick_workers(&vms, &document));
        table.add(&[&count, &decode, &ordered, &unordered, &pick]);
    }
    table
}

fn build(records: &[VmRecord]) -> u128 {
    let records = records.to_vec();
    nanos_of(1, || VmTable::new(records, MonoTime::default()))
}

/// As the actor of a cell does at each of its steps.
fn pick_workers(vms: &VmTable, document: &OperatorDocument) -> u128 {
    let map = CellMap::new(CELLS);
    let cell = CellNumber::new(0);
    nanos_of(1, || {
        vms.workers(document, |worker| map.cell_of_worker(worker) == cell)
    })
}
