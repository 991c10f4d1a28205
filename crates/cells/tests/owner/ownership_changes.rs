//! Removal of workers and changes of the owner.

use crate::owner_harness::OwnerHarness;
use crate::owner_harness::attempt_report;
use crate::owner_harness::task;
use sapphirestile_cells::CellTransition;
use sapphirestile_cells::ReportedPhase;
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
fn tasks_wait_again_once_their_worker_is_unlisted_for_the_list_lag() {
    let mut harness = OwnerHarness::new();
    harness.run("spins", 1);
    harness.set_workers(&["w2"], true);
    harness.wait(29_999);
    harness.set_workers(&["w2"], true);
    assert_eq!(harness.take(), []);
    harness.wait(1);
    harness.set_workers(&["w2"], true);
    assert_eq!(harness.take(), [returned()]);
}

#[test]
fn a_worker_listed_again_within_the_list_lag_keeps_its_tasks() {
    let mut harness = OwnerHarness::new();
    harness.run("spins", 1);
    harness.set_workers(&["w2"], true);
    harness.wait(29_999);
    harness.set_workers(&["w1", "w2"], true);
    harness.wait(30_000);
    harness.set_workers(&["w2"], true);
    assert_eq!(harness.take(), []);
}

#[test]
fn a_task_with_a_withheld_start_on_a_removed_worker_waits_again_after_the_commit() {
    let mut harness = OwnerHarness::new();
    harness.renew(&[]);
    harness.submit("spins", 1);
    harness.plan();
    let batch = harness.take();
    harness.set_workers(&["w2"], true);
    harness.wait(30_000);
    harness.set_workers(&["w2"], true);
    harness.settle(&batch);
    assert_eq!(harness.take(), []);
    harness.set_workers(&["w2"], true);
    harness.wait(30_000);
    harness.set_workers(&["w2"], true);
    assert_eq!(harness.take(), [returned()]);
}

#[test]
fn a_new_owner_adopts_running_attempts() {
    let mut first = OwnerHarness::new();
    first.run("spins", 1);
    let mut next = OwnerHarness::adopt(first.journal.clone(), 2);
    let running = attempt_report("spins", 1, ReportedPhase::Running, 700);
    next.renew(&[("w1", running)]);
    assert_eq!(next.stops(), []);
    assert_eq!(next.take(), []);
    assert_eq!(next.epoch().get(), 3);
}

#[test]
fn a_new_owner_returns_tasks_of_a_worker_that_is_never_listed() {
    let mut first = OwnerHarness::new();
    first.run("spins", 1);
    let mut next = OwnerHarness::adopt(first.journal.clone(), 2);
    next.set_workers(&["w2"], true);
    next.wait(30_000);
    next.set_workers(&["w2"], true);
    assert_eq!(next.take(), [returned()]);
}
