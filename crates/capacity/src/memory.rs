//! Resident memory of in-memory tables.

mod process_usage;

use sapphirestile_core::MonoTime;
use sapphirestile_daemon::vms::VmTable;

use crate::ResultTable;
use crate::fixtures::CellFixture;
use crate::fixtures::CellSize;
use crate::fixtures::RoutingFixture;
use crate::fixtures::TokenFixture;
use crate::fixtures::VmListFixture;

pub use process_usage::ProcessUsage;

/// Copies over which the growth of resident memory is averaged.
const COPIES: u64 = 8;

/// Measures the growth of resident memory per table, in KB, over several sizes.
///
/// # Panics
///
/// When `/proc/self` cannot be read.
#[must_use]
pub fn memory_growth() -> Vec<ResultTable> {
    let mut table = ResultTable::new(
        "Resident memory of one table, the mean of eight, KB",
        &["table", "size", "KB"],
    );
    for (running, workers) in [(300, 35), (1_000, 70), (3_000, 140)] {
        let size = CellSize {
            workers,
            running,
            ..CellSize::default()
        };
        let name = "cell, running tasks";
        table.add(&[
            &name,
            &running,
            &resident_growth_kb(|| CellFixture::build(size)),
        ]);
    }
    for ended in [2_500, 5_000] {
        let size = CellSize {
            workers: 140,
            running: 3_000,
            waiting: 0,
            ended,
        };
        let name = "cell of 3,000 running, ended tasks";
        table.add(&[
            &name,
            &ended,
            &resident_growth_kb(|| CellFixture::build(size)),
        ]);
    }
    for runners in [48, 500, 2_000, 4_625] {
        let routes = resident_growth_kb(|| {
            let mut fixture = RoutingFixture::build(runners);
            (fixture.table(), fixture)
        });
        table.add(&[&"routing table and gauges, runners", &runners, &routes]);
        let tokens = resident_growth_kb(|| {
            let fixture = TokenFixture::build(runners);
            (fixture.holder(0), fixture)
        });
        table.add(&[&"ledger and holder, runners", &runners, &tokens]);
    }
    for count in [500, 2_000, 8_700] {
        let vms =
            resident_growth_kb(|| VmTable::new(VmListFixture::sorted(count), MonoTime::default()));
        table.add(&[&"list of VMs, workers", &count, &vms]);
    }
    vec![table]
}

/// Returns the mean resident kilobytes of one copy. The copies are leaked, so that the next
/// measurement cannot reuse their memory.
fn resident_growth_kb<T>(build: impl Fn() -> T) -> u64 {
    std::mem::forget(build());
    let before = ProcessUsage::read("self").resident_kb;
    for _ in 0..COPIES {
        std::mem::forget(build());
    }
    let after = ProcessUsage::read("self").resident_kb;
    after.saturating_sub(before) / COPIES
}
