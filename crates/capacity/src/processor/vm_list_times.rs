//! Processor time of the list of VMs: decoding, building the table and selecting workers.

use sapphirestile_cells::CellMap;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::OperatorDocument;
use sapphirestile_daemon::vms::VmTable;
use sapphirestile_wire::vms::VmRecord;

use crate::ResultTable;
use crate::fixtures::VmListFixture;
use crate::report::TimingSummary;
use crate::report::nanos_per_unit;

const CELLS: u16 = 64;
const DOCUMENT: &str = "[region near]\nlink_mbit = 30\n[zone near-a]\nregion = near\nstate = in\n";

/// Measures lists of different lengths, in name order and shuffled.
pub fn vm_list_times(rounds: usize) -> ResultTable {
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
    let document = OperatorDocument::try_from(DOCUMENT).expect("the document is valid");
    for count in [500, 2_000, 8_700] {
        let sorted = VmListFixture::sorted(count);
        let shuffled = VmListFixture::shuffled(count);
        let body = serde_json::to_vec(&sorted).expect("a list of VMs can be encoded");
        let decode = TimingSummary::measure(rounds, || {
            nanos_per_unit(1, || serde_json::from_slice::<Vec<VmRecord>>(&body))
        });
        let ordered = TimingSummary::measure(rounds, || time_table_build(&sorted));
        let unordered = TimingSummary::measure(rounds, || time_table_build(&shuffled));
        let vms = VmTable::new(sorted.clone(), MonoTime::default());
        let cell_workers = TimingSummary::measure(rounds, || time_cell_workers(&vms, &document));
        table.add(&[&count, &decode, &ordered, &unordered, &cell_workers]);
    }
    table
}

/// Returns the nanoseconds of building the table from `records`.
fn time_table_build(records: &[VmRecord]) -> u128 {
    let records = records.to_vec();
    nanos_per_unit(1, || VmTable::new(records, MonoTime::default()))
}

/// Returns the nanoseconds of selecting the workers of one cell, as the actor of a cell
/// does at each of its steps.
fn time_cell_workers(vms: &VmTable, document: &OperatorDocument) -> u128 {
    let map = CellMap::new(CELLS);
    let cell = CellNumber::new(0);
    nanos_per_unit(1, || {
        vms.workers(document, |worker| map.cell_of_worker(worker) == cell)
    })
}
