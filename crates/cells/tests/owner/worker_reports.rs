//! Evaluation of workers' reports.

use crate::owner_harness::OwnerHarness;
use crate::owner_harness::attempt_report;
use crate::owner_harness::starts;
use crate::owner_harness::task;
use crate::owner_harness::worker_name;
use sapphirestile_cells::AttemptStop;
use sapphirestile_cells::CellTransition;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_cells::TaskEntry;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::JobName;

#[test]
fn a_late_finish_of_an_old_attempt_is_ignored() {
    let mut harness = OwnerHarness::new();
    harness.run("spins", 1);
    harness.owner.start_answered("w1");
    harness.renew(&[]);
    harness.set_workers(&["w2"], true);
    harness.plan();
    let again = starts(harness.commit());
    assert_eq!(again[0].attempt, AttemptNumber::new(2));
    harness.owner.start_answered(again[0].worker.as_str());
    let running = attempt_report("spins", 2, ReportedPhase::Running, 0);
    let late = attempt_report("spins", 1, ReportedPhase::Finished, 90_000);
    harness.renew(&[(again[0].worker.as_str(), running), ("w2", late)]);
    assert_eq!(harness.take(), []);
    assert!(matches!(
        harness.owner.state().tasks().get(&task("spins", 0)),
        Some(TaskEntry::Assigned(cycle)) if cycle.phase().attempt.get() == 2
    ));
}

#[test]
fn a_checkpoint_reported_repeatedly_is_recorded_once() {
    let mut harness = OwnerHarness::new();
    harness.run("spins", 1);
    harness.owner.start_answered("w1");
    let reported = [(
        "w1",
        attempt_report("spins", 1, ReportedPhase::Running, 61_000),
    )];
    harness.renew(&reported);
    harness.renew(&reported);
    assert_eq!(
        harness.take(),
        [CellTransition::TaskCheckpointed {
            task: task("spins", 0),
            attempt: AttemptNumber::new(1),
            checkpoint_ms: 61_000,
        }]
    );
}

#[test]
fn a_checkpoint_of_u64_max_is_recorded_once() {
    let mut harness = OwnerHarness::new();
    harness.run("spins", 1);
    harness.owner.start_answered("w1");
    let reported = [(
        "w1",
        attempt_report("spins", 1, ReportedPhase::Running, u64::MAX),
    )];
    harness.renew(&reported);
    harness.commit();
    harness.renew(&reported);
    assert_eq!(harness.take(), []);
}

#[test]
fn an_attempt_unknown_to_the_journal_is_stopped() {
    let mut harness = OwnerHarness::new();
    harness.renew(&[(
        "w2",
        attempt_report("spins", 7, ReportedPhase::Running, 500),
    )]);
    assert_eq!(
        harness.stops(),
        [AttemptStop {
            worker: worker_name("w2"),
            epoch: harness.epoch(),
            task: task("spins", 0),
            attempt: AttemptNumber::new(7),
            checkpoint: false,
        }]
    );
    assert_eq!(harness.take(), []);
}

#[test]
fn an_attempt_in_a_removed_zone_is_stopped_with_a_checkpoint_and_counted_once() {
    let mut harness = OwnerHarness::new();
    harness.run("spins", 1);
    harness.owner.start_answered("w1");
    harness.set_workers(&["w1", "w2"], false);
    let reported = [(
        "w1",
        attempt_report("spins", 1, ReportedPhase::Running, 500),
    )];
    harness.renew(&reported);
    harness.renew(&reported);
    let stop = AttemptStop {
        worker: worker_name("w1"),
        epoch: harness.epoch(),
        task: task("spins", 0),
        attempt: AttemptNumber::new(1),
        checkpoint: true,
    };
    assert_eq!(harness.stops(), [stop.clone(), stop]);
    assert_eq!(harness.owner.evictions(), 1);
    harness.renew(&[(
        "w1",
        attempt_report("spins", 1, ReportedPhase::Stopped, 2_500),
    )]);
    harness.commit();
    assert!(matches!(
        harness.journal.tasks().get(&task("spins", 0)),
        Some(TaskEntry::Waiting(cycle)) if cycle.phase().checkpoint_ms == 2_500
    ));
}

#[test]
fn a_cancelled_job_is_stopped_without_checkpoint_and_counts_no_eviction() {
    let mut harness = OwnerHarness::new();
    harness.run("spins", 1);
    harness.owner.start_answered("w1");
    let job = JobName::try_from("spins").unwrap();
    harness.owner.cancel_job(&job).unwrap();
    harness.renew(&[(
        "w1",
        attempt_report("spins", 1, ReportedPhase::Running, 500),
    )]);
    let stops = harness.stops();
    assert_eq!((stops.len(), stops[0].checkpoint), (1, false));
    assert_eq!(harness.owner.evictions(), 0);
}

#[test]
fn an_answer_from_before_a_worker_was_removed_and_listed_again_is_ignored() {
    let mut harness = OwnerHarness::new();
    harness.wait(1_000);
    let old = harness.sessions();
    harness.set_workers(&["w2"], true);
    harness.wait(30_000);
    harness.set_workers(&["w2"], true);
    harness.set_workers(&["w1", "w2"], true);
    let new = harness.sessions();
    assert_eq!(new.len(), 1);
    harness.report("w1", old[0].ordinal, &[]);
    harness.submit("spins", 1);
    harness.plan();
    assert_eq!(starts(harness.commit()), []);
}

#[test]
fn an_unlisted_worker_gets_no_new_tasks_and_keeps_its_own() {
    let mut harness = OwnerHarness::new();
    harness.set_workers(&["w1"], true);
    harness.run("spins", 1);
    harness.owner.start_answered("w1");
    harness.set_workers(&[], true);
    let reported = [(
        "w1",
        attempt_report("spins", 1, ReportedPhase::Running, 500),
    )];
    harness.renew(&reported);
    harness.submit("looms", 1);
    harness.plan();
    assert_eq!(starts(harness.commit()), []);
    assert_eq!(harness.stops(), []);
    harness.set_workers(&["w1"], true);
    harness.renew(&reported);
    harness.plan();
    assert_eq!(starts(harness.commit()).len(), 1);
}
