//! Selection of the workers of one cell.

use std::sync::Arc;

use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_jobs::CellLayout;
use sapphirestile_jobs::FleetDivision;
use sapphirestile_jobs::WorkerEntry;
use sapphirestile_jobs::WorkerEvent;

use crate::test_values::worker;

fn at(milliseconds: u64) -> MonoTime {
    MonoTime::from_millis(milliseconds)
}

fn names(entries: &[WorkerEntry]) -> Vec<&str> {
    entries.iter().map(|entry| entry.name.as_str()).collect()
}

/// Divisions for both cells of a layout, with a worker in each.
fn two_cells() -> [FleetDivision; 2] {
    let workers = vec![worker("i-1", "near-a", "r1"), worker("i-2", "near-b", "r2")];
    let mut first = FleetDivision::new(CellNumber::new(0), Arc::default(), at(0));
    assert!(
        first.replace(workers.clone(), at(0)).is_empty(),
        "there is no layout yet"
    );
    let layout = Arc::new(
        first
            .proposal(1, at(2_000))
            .expect("two racks have no cell"),
    );
    let mut second = FleetDivision::new(CellNumber::new(1), Arc::default(), at(0));
    second.replace(workers, at(0));
    assert_eq!(names(&first.set_layout(&layout)), ["i-1"]);
    assert_eq!(names(&second.set_layout(&layout)), ["i-2"]);
    [first, second]
}

/// Workers register one by one. A layout that is made too early would put racks of hundreds
/// of workers into the first cell.
#[test]
fn the_layout_waits_until_the_list_has_settled() {
    let mut division = FleetDivision::new(CellNumber::new(0), Arc::default(), at(0));
    for (index, time) in [(1, 100), (2, 900), (3, 2_000)] {
        let entry = worker(&format!("i-{index}"), "near-a", &format!("r{index}"));
        division.apply(WorkerEvent::Present(entry), at(time));
        assert_eq!(division.proposal(10, at(time + 500)), None);
    }
    let again = worker("i-1", "near-a", "r1");
    division.apply(WorkerEvent::Present(again), at(3_000));
    let layout = division
        .proposal(1, at(3_700))
        .expect("no new worker for 1.7 s");
    assert_eq!(layout.cells(), 3);
}

#[test]
fn each_cell_hears_of_its_own_workers_only() {
    let [mut first, mut second] = two_cells();
    let leaving = WorkerEntry {
        is_leaving: true,
        ..worker("i-1", "near-a", "r1")
    };
    let event = WorkerEvent::Present(leaving);
    assert_eq!(first.apply(event.clone(), at(3_000)), Some(event.clone()));
    assert_eq!(second.apply(event, at(3_000)), None);
    let gone = WorkerEvent::Gone(worker("i-2", "near-b", "r2").name);
    assert_eq!(first.apply(gone.clone(), at(3_100)), None);
    assert_eq!(second.apply(gone.clone(), at(3_100)), Some(gone));
}

/// The owner that had the worker must stop using it before the other one starts.
#[test]
fn a_worker_that_names_a_rack_of_another_cell_is_gone_from_the_first() {
    let [mut first, mut second] = two_cells();
    let moved = worker("i-1", "near-b", "r2");
    let event = WorkerEvent::Present(moved.clone());
    assert_eq!(
        first.apply(event.clone(), at(3_000)),
        Some(WorkerEvent::Gone(moved.name))
    );
    assert_eq!(second.apply(event.clone(), at(3_000)), Some(event));
}

/// A worker in a rack that was never seen has no owner before the layout has its rack.
#[test]
fn a_new_rack_is_added_to_the_layout() {
    let [mut first, _] = two_cells();
    let entry = worker("i-3", "near-a", "r3");
    assert_eq!(first.apply(WorkerEvent::Present(entry), at(3_000)), None);
    let layout: CellLayout = first.proposal(2, at(5_000)).expect("r3 has no cell");
    assert_eq!(layout.cells(), 2);
    assert_eq!(names(&first.set_layout(&Arc::new(layout))).len(), 1);
}
