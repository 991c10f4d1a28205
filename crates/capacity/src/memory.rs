//! Memory of tables.

mod process_memory;

use sapphirestile_core::MonoTime;
use sapphirestile_daemon::vms::VmTable;

use crate::ResultTable;
use crate::scenes::CellScene;
use crate::scenes::CellSize;
use crate::scenes::RouteScene;
use crate::scenes::TokenScene;
use crate::scenes::VmScene;

pub use process_memory::ProcessMemory;

const COPIES: u64 = 8;

/// How much the resident memory grows for each table, over several sizes.
///
/// # Panics
///
/// When the system does not tell this process's memory.
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
        table.add(&[&name, &running, &growth(|| CellScene::build(size))]);
    }
    for ended in [2_500, 5_000] {
        let size = CellSize {
            workers: 140,
            running: 3_000,
            waiting: 0,
            ended,
        };
        let name = "cell of 3,000 running, ended tasks";
        table.add(&[&name, &ended, &growth(|| CellScene::build(size))]);
    }
    for runners in [48, 500, 2_000, 4_625] {
        let routes = growth(|| {
            let mut scene = RouteScene::build(runners);
            (scene.table(), scene)
        });
        table.add(&[&"routing table and gauges, runners", &runners, &routes]);
        let tokens = growth(|| {
            let scene = TokenScene::build(runners);
            (scene.holder(0), scene)
        });
        table.add(&[&"ledger and holder, runners", &runners, &tokens]);
    }
    for count in [500, 2_000, 8_700] {
        let vms = growth(|| VmTable::new(VmScene::sorted(count), MonoTime::default()));
        table.add(&[&"list of VMs, workers", &count, &vms]);
    }
    vec![table]
}

/// Kilobytes that one of several copies takes. The copies are never freed, so
/// that the next measurement cannot reuse their memory.
fn growth<T>(build: impl Fn() -> T) -> u64 {
    std::mem::forget(build());
    let before = ProcessMemory::read("self").resident_kb;
    for _ in 0..COPIES {
        std::mem::forget(build());
    }
    let after = ProcessMemory::read("self").resident_kb;
    after.saturating_sub(before) / COPIES
}
