//! Sessions, permits, leases and attempts of a worker.

use test_case::test_case;

use crate::worker_harness::LEASE_MS;
use crate::worker_harness::WorkerHarness;
use crate::worker_harness::size;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_wire::worker::TaskPhase;
use sapphirestile_wire::worker::WorkerRefusal;

#[test]
fn a_permit_expires() {
    let mut harness = WorkerHarness::new();
    harness.renew(0, &[]).unwrap();
    let start = harness.task_start(0, 1, 10_000);
    assert_eq!(
        harness.start(3_001, &start),
        Err(WorkerRefusal::StalePermit)
    );
    assert_eq!(harness.intervals(), []);
    assert_eq!(harness.start(3_000, &start), Ok(()));
    assert_eq!(harness.intervals(), [(3_000, None)]);
}

#[test]
fn a_renewal_invalidates_the_previous_permit() {
    let mut harness = WorkerHarness::new();
    harness.renew(0, &[]).unwrap();
    let late = harness.task_start(0, 1, 10_000);
    harness.renew(1, &[]).unwrap();
    assert_eq!(harness.start(2, &late), Err(WorkerRefusal::StalePermit));
    let fresh = harness.task_start(0, 1, 10_000);
    assert_eq!(harness.start(2, &fresh), Ok(()));
}

#[test]
fn a_later_epoch_fences_every_call_of_an_earlier_one() {
    let mut harness = WorkerHarness::new();
    harness.renew(0, &[]).unwrap();
    let old = harness.task_start(0, 1, 10_000);
    harness.epoch = 2;
    harness.renew(1, &[]).unwrap();
    let stale = WorkerRefusal::StaleEpoch { highest: 2 };
    assert_eq!(harness.start(2, &old), Err(stale.clone()));
    harness.epoch = 1;
    assert_eq!(harness.renew(2, &[]), Err(stale.clone()));
    assert_eq!(harness.stop(2, 0, 1, true), Err(stale.clone()));
    assert_eq!(harness.throttle(2, 0, 1), Err(stale));
}

#[test]
fn a_start_without_a_session_of_its_epoch_is_refused() {
    let mut harness = WorkerHarness::new();
    harness.renew(0, &[]).unwrap();
    harness.epoch = 2;
    let start = harness.task_start(0, 1, 10_000);
    assert_eq!(harness.start(1, &start), Err(WorkerRefusal::StalePermit));
}

#[test]
fn an_attempt_started_twice_runs_once() {
    let mut harness = WorkerHarness::new();
    harness.renew(0, &[]).unwrap();
    let start = harness.task_start(0, 1, 1_000);
    assert_eq!(harness.start(0, &start), Ok(()));
    assert_eq!(harness.start(10, &start), Ok(()));
    assert_eq!(harness.start(2_000, &start), Ok(()));
    assert_eq!(harness.intervals(), [(0, Some(1_000))]);
}

#[test]
fn a_task_runs_in_one_attempt_at_a_time() {
    let mut harness = WorkerHarness::new();
    harness.renew(0, &[]).unwrap();
    let first = harness.task_start(0, 1, 10_000);
    let second = harness.task_start(0, 2, 10_000);
    harness.start(0, &first).unwrap();
    let refusal = harness.start(0, &second).unwrap_err();
    assert!(matches!(refusal, WorkerRefusal::BadCall { .. }));
    harness.stop(1, 0, 1, true).unwrap();
    assert_eq!(harness.start(1, &second), Ok(()));
    assert_eq!(harness.intervals(), [(0, Some(1)), (1, None)]);
}

#[test]
fn a_task_that_does_not_fit_is_refused() {
    let mut harness = WorkerHarness::new();
    harness.renew(0, &[]).unwrap();
    for index in 0..4 {
        let start = harness.task_start(index, 1, 500);
        assert_eq!(harness.start(0, &start), Ok(()));
    }
    let fifth = harness.task_start(4, 1, 500);
    assert_eq!(harness.start(499, &fifth), Err(WorkerRefusal::NoRoom));
    assert_eq!(harness.start(500, &fifth), Ok(()));
}

#[test]
fn a_settled_attempt_is_forgotten_and_a_running_one_is_not() {
    let mut harness = WorkerHarness::new();
    harness.renew(0, &[]).unwrap();
    for (index, run_ms) in [(0, 100), (1, 100), (2, 9_000)] {
        let start = harness.task_start(index, 1, run_ms);
        harness.start(0, &start).unwrap();
    }
    harness.renew(200, &[0, 2]).unwrap();
    let expected = [(1, TaskPhase::Finished, 100), (2, TaskPhase::Running, 0)];
    assert_eq!(harness.report(200), expected);
}

#[test]
fn tasks_stop_with_a_checkpoint_when_their_lease_expires() {
    let mut harness = WorkerHarness::new();
    harness.renew(0, &[]).unwrap();
    let long = harness.task_start(0, 1, LEASE_MS + 1);
    let short = harness.task_start(1, 1, LEASE_MS);
    harness.start(0, &long).unwrap();
    harness.start(0, &short).unwrap();
    let expected = [
        (0, TaskPhase::Stopped, LEASE_MS),
        (1, TaskPhase::Finished, LEASE_MS),
    ];
    assert_eq!(harness.report(9_000), expected);
    assert_eq!(
        harness.intervals(),
        [(0, Some(LEASE_MS)), (0, Some(LEASE_MS))]
    );
}

#[test]
fn a_renewal_extends_leases() {
    let mut harness = WorkerHarness::new();
    harness.renew(0, &[]).unwrap();
    let start = harness.task_start(0, 1, 60_000);
    harness.start(0, &start).unwrap();
    harness.renew(4_000, &[]).unwrap();
    assert_eq!(harness.report(8_999), [(0, TaskPhase::Running, 8_000)]);
}

#[test]
fn a_start_whose_lease_has_expired_is_refused() {
    let mut harness = WorkerHarness::new();
    harness.lease_ms = 2_000;
    harness.renew(0, &[]).unwrap();
    let start = harness.task_start(0, 1, 60_000);
    assert_eq!(
        harness.start(2_000, &start),
        Err(WorkerRefusal::StalePermit)
    );
    assert_eq!(harness.start(1_999, &start), Ok(()));
}

#[test_case(true, 2_500; "with a checkpoint")]
#[test_case(false, 2_000; "back to the last regular one")]
fn a_stop_saves_work(checkpoint: bool, saved_ms: u64) {
    let mut harness = WorkerHarness::new();
    harness.renew(0, &[]).unwrap();
    let start = harness.task_start(0, 1, 60_000);
    harness.start(0, &start).unwrap();
    harness.stop(2_500, 0, 1, checkpoint).unwrap();
    assert_eq!(harness.report(4_000), [(0, TaskPhase::Stopped, saved_ms)]);
}

#[test]
fn a_task_continues_from_its_checkpoint() {
    let mut harness = WorkerHarness::new();
    harness.renew(0, &[]).unwrap();
    let mut start = harness.task_start(0, 2, 3_000);
    start.checkpoint_ms = 2_600;
    harness.start(0, &start).unwrap();
    assert_eq!(harness.report(399), [(0, TaskPhase::Running, 2_600)]);
    assert_eq!(harness.report(400), [(0, TaskPhase::Finished, 3_000)]);
}

#[test]
fn a_throttled_task_runs_slower_and_its_usage_is_seen_late() {
    let mut harness = WorkerHarness::new();
    harness.renew(0, &[]).unwrap();
    let start = harness.task_start(0, 1, 2_000);
    harness.start(0, &start).unwrap();
    // The task uses half of its core. The limit is a quarter of that.
    harness.throttle(1_000, 0, 125).unwrap();
    let usage = |harness: &mut WorkerHarness, now| harness.renew(now, &[]).unwrap().tasks[0].usage;
    assert_eq!(usage(&mut harness, 1_499).cpu_milli, 500);
    assert_eq!(usage(&mut harness, 1_500).cpu_milli, 125);
    assert_eq!(harness.report(4_999), [(0, TaskPhase::Running, 1_000)]);
    assert_eq!(harness.report(5_000), [(0, TaskPhase::Finished, 2_000)]);
}

#[test]
fn usage_is_unknown_at_first() {
    let mut harness = WorkerHarness::new();
    harness.renew(0, &[]).unwrap();
    let start = harness.task_start(0, 1, 2_000);
    harness.start(0, &start).unwrap();
    let report = harness.renew(499, &[]).unwrap();
    assert_eq!(report.tasks[0].usage, ResourceSize::default());
    assert_eq!(report.size, Some(size(4_000)));
}

#[test]
fn a_worker_that_fails_everything_ends_tasks_at_once() {
    let mut harness = WorkerHarness::new();
    harness.renew(0, &[]).unwrap();
    let start = harness.task_start(0, 1, 2_000);
    harness
        .state
        .start(MonoTime::from_millis(7), &start, true)
        .unwrap();
    assert_eq!(harness.report(7), [(0, TaskPhase::Failed, 0)]);
    assert_eq!(harness.intervals(), [(7, Some(7))]);
}
