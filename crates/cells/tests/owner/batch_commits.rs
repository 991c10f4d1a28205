//! Effects are released only after their entry is in the journal.

use crate::owner_harness::OwnerHarness;
use crate::owner_harness::attempt_report;
use crate::owner_harness::starts;
use crate::owner_harness::task;
use crate::owner_harness::worker_name;
use sapphirestile_cells::AttemptStart;
use sapphirestile_cells::CellEffect;
use sapphirestile_cells::CellTransition;
use sapphirestile_cells::CommitOutcome;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_cells::TaskEntry;
use sapphirestile_cells::TaskOutcome;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;

const SIZE: ResourceSize = ResourceSize {
    cpu_milli: 1_000,
    memory_mb: 1_500,
    accelerators: 0,
};

#[test]
fn a_start_is_withheld_until_its_assignment_is_in_the_journal() {
    let mut harness = OwnerHarness::new();
    harness.renew(&[]);
    harness.submit("spins", 1);
    harness.plan();
    let batch = harness.take();
    assert_eq!(
        batch[1],
        CellTransition::TaskAssigned {
            task: task("spins", 0),
            attempt: AttemptNumber::new(1),
            worker: worker_name("w1"),
            size: SIZE,
        }
    );
    assert_eq!(harness.stops(), []);
    assert_eq!(
        harness.settle(&batch),
        [CellEffect::Start(AttemptStart {
            worker: worker_name("w1"),
            epoch: CellEpoch::new(1),
            permit: 101,
            task: task("spins", 0),
            attempt: AttemptNumber::new(1),
            size: SIZE,
            run_ms: 90_000,
            checkpoint_ms: 0,
        })]
    );
}

#[test]
fn a_changed_configuration_undoes_assignments_and_keeps_other_changes() {
    let mut harness = OwnerHarness::new();
    harness.renew(&[]);
    harness.submit("spins", 1);
    harness.plan();
    harness.take();
    assert_eq!(harness.owner.settle_batch(CommitOutcome::ConfigMoved), []);
    assert_eq!(harness.commit(), []);
    assert!(matches!(
        harness.journal.tasks().get(&task("spins", 0)),
        Some(TaskEntry::Waiting(cycle)) if cycle.phase().attempt.get() == 0
    ));
    harness.plan();
    let started = starts(harness.commit());
    assert_eq!(started[0].attempt, AttemptNumber::new(1));
}

#[test]
fn a_job_cancelled_while_an_assignment_is_undone_has_no_open_tasks() {
    let mut harness = OwnerHarness::new();
    harness.renew(&[]);
    harness.submit("spins", 2);
    harness.plan();
    harness.take();
    let job = JobName::try_from("spins").unwrap();
    harness.owner.cancel_job(&job).unwrap();
    assert_eq!(harness.owner.settle_batch(CommitOutcome::ConfigMoved), []);
    assert_eq!(harness.commit(), []);
    let progress = harness.journal.jobs().get(&job).unwrap();
    assert_eq!((progress.cancelled, progress.open_tasks), (true, 0));
}

#[test]
fn a_worker_forgets_an_ended_attempt_only_after_the_commit() {
    let mut harness = OwnerHarness::new();
    harness.run("spins", 1);
    harness.owner.start_answered("w1");
    let finished = [(
        "w1",
        attempt_report("spins", 1, ReportedPhase::Finished, 90_000),
    )];
    assert_eq!(harness.renew(&finished), [""; 0]);
    assert_eq!(harness.renew(&finished), [""; 0]);
    let batch = harness.take();
    assert_eq!(
        batch,
        [CellTransition::TaskEnded {
            task: task("spins", 0),
            attempt: AttemptNumber::new(1),
            outcome: TaskOutcome::Finished,
        }]
    );
    assert_eq!(harness.renew(&finished), [""; 0]);
    harness.settle(&batch);
    assert_eq!(harness.renew(&[]), ["w1 spins/0 1"]);
    assert_eq!(harness.renew(&[]), [""; 0]);
}

#[test]
fn reports_during_a_long_commit_settle_an_attempt_once() {
    let mut harness = OwnerHarness::new();
    harness.run("spins", 1);
    harness.owner.start_answered("w1");
    let finished = [(
        "w1",
        attempt_report("spins", 1, ReportedPhase::Finished, 90_000),
    )];
    harness.renew(&finished);
    let batch = harness.take();
    for _ in 0..50 {
        harness.renew(&finished);
    }
    harness.settle(&batch);
    assert_eq!(harness.renew(&[]), ["w1 spins/0 1"]);
}

#[test]
fn a_report_cannot_end_an_attempt_whose_start_is_withheld() {
    let mut harness = OwnerHarness::new();
    harness.renew(&[]);
    harness.submit("spins", 1);
    harness.plan();
    harness.take();
    harness.wait(3_000);
    harness.renew(&[(
        "w1",
        attempt_report("spins", 1, ReportedPhase::Finished, 90_000),
    )]);
    assert_eq!(harness.owner.settle_batch(CommitOutcome::ConfigMoved), []);
    harness.commit();
    assert!(matches!(
        harness.journal.tasks().get(&task("spins", 0)),
        Some(TaskEntry::Waiting(_))
    ));
}

#[test]
fn an_attempt_is_settled_by_the_entry_that_repeats_an_unwritten_batch() {
    let mut harness = OwnerHarness::new();
    harness.run("spins", 1);
    harness.owner.start_answered("w1");
    let running = [("w1", attempt_report("spins", 1, ReportedPhase::Running, 0))];
    harness.renew(&running);
    harness.submit("looms", 1);
    harness.plan();
    harness.take();
    harness.wait(3_000);
    harness.renew(&[(
        "w1",
        attempt_report("spins", 1, ReportedPhase::Finished, 90_000),
    )]);
    assert_eq!(harness.owner.settle_batch(CommitOutcome::ConfigMoved), []);
    harness.commit();
    assert_eq!(harness.renew(&[]), ["w1 spins/0 1"]);
}
