//! Workers that went, and owners that came.

use crate::owner_bench::OwnerBench;
use crate::owner_bench::sighting;
use crate::owner_bench::task;
use sapphirestile_cells::CellTransition;
use sapphirestile_cells::SightedPhase;
use sapphirestile_core::AttemptNumber;

fn returned() -> CellTransition {
    CellTransition::TaskReturned {
        task: task("spins", 0),
        attempt: AttemptNumber::new(1),
        checkpoint_ms: 0,
        failed: false,
    }
}

#[test]
fn tasks_of_a_worker_wait_again_once_the_list_has_not_shown_it_for_its_lag() {
    let mut bench = OwnerBench::new();
    bench.run("spins", 1);
    bench.list(&["w2"], true);
    bench.wait(29_999);
    bench.list(&["w2"], true);
    assert_eq!(bench.take(), []);
    bench.wait(1);
    bench.list(&["w2"], true);
    assert_eq!(bench.take(), [returned()]);
}

#[test]
fn a_worker_that_is_listed_again_in_time_keeps_its_tasks() {
    let mut bench = OwnerBench::new();
    bench.run("spins", 1);
    bench.list(&["w2"], true);
    bench.wait(29_999);
    bench.list(&["w1", "w2"], true);
    bench.wait(30_000);
    bench.list(&["w2"], true);
    assert_eq!(bench.take(), []);
}

#[test]
fn a_start_withheld_while_its_worker_goes_waits_again_after_the_commit() {
    let mut bench = OwnerBench::new();
    bench.renew(&[]);
    bench.submit("spins", 1);
    bench.plan();
    let batch = bench.take();
    bench.list(&["w2"], true);
    bench.wait(30_000);
    bench.list(&["w2"], true);
    bench.done(&batch);
    assert_eq!(bench.take(), []);
    bench.list(&["w2"], true);
    bench.wait(30_000);
    bench.list(&["w2"], true);
    assert_eq!(bench.take(), [returned()]);
}

#[test]
fn a_new_owner_adopts_what_runs() {
    let mut first = OwnerBench::new();
    first.run("spins", 1);
    let mut next = OwnerBench::adopt(first.journal.clone(), 2);
    let running = sighting("spins", 1, SightedPhase::Running, 700);
    next.renew(&[("w1", running)]);
    assert_eq!(next.stops(), []);
    assert_eq!(next.take(), []);
    assert_eq!(next.epoch().get(), 3);
}

#[test]
fn a_new_owner_returns_tasks_of_a_worker_that_it_never_learns_of() {
    let mut first = OwnerBench::new();
    first.run("spins", 1);
    let mut next = OwnerBench::adopt(first.journal.clone(), 2);
    next.list(&["w2"], true);
    next.wait(30_000);
    next.list(&["w2"], true);
    assert_eq!(next.take(), [returned()]);
}
