//! Effects wait for the journal.

use crate::owner_bench::OwnerBench;
use crate::owner_bench::sighting;
use crate::owner_bench::starts;
use crate::owner_bench::task;
use crate::owner_bench::worker_name;
use sapphirestile_cells::CellEffect;
use sapphirestile_cells::CellTransition;
use sapphirestile_cells::CommitOutcome;
use sapphirestile_cells::SightedPhase;
use sapphirestile_cells::StartOrder;
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
    let mut bench = OwnerBench::new();
    bench.renew(&[]);
    bench.submit("spins", 1);
    bench.plan();
    let batch = bench.take();
    assert_eq!(
        batch[1],
        CellTransition::TaskAssigned {
            task: task("spins", 0),
            attempt: AttemptNumber::new(1),
            worker: worker_name("w1"),
            size: SIZE,
        }
    );
    assert_eq!(bench.stops(), []);
    assert_eq!(
        bench.done(&batch),
        [CellEffect::Start(StartOrder {
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
fn a_moved_configuration_takes_assignments_back_and_keeps_the_rest() {
    let mut bench = OwnerBench::new();
    bench.renew(&[]);
    bench.submit("spins", 1);
    bench.plan();
    bench.take();
    assert_eq!(bench.owner.settle_batch(CommitOutcome::ConfigMoved), []);
    assert_eq!(bench.commit(), []);
    assert!(matches!(
        bench.journal.tasks().get(&task("spins", 0)),
        Some(TaskEntry::Waiting(cycle)) if cycle.phase().attempt.get() == 0
    ));
    bench.plan();
    let begun = starts(bench.commit());
    assert_eq!(begun[0].attempt, AttemptNumber::new(1));
}

#[test]
fn a_cancel_meets_an_assignment_that_is_taken_back() {
    let mut bench = OwnerBench::new();
    bench.renew(&[]);
    bench.submit("spins", 2);
    bench.plan();
    bench.take();
    let job = JobName::try_from("spins").unwrap();
    bench.owner.cancel_job(&job).unwrap();
    assert_eq!(bench.owner.settle_batch(CommitOutcome::ConfigMoved), []);
    assert_eq!(bench.commit(), []);
    let record = bench.journal.jobs().get(&job).unwrap();
    assert_eq!((record.cancelled, record.open_tasks), (true, 0));
}

#[test]
fn a_worker_forgets_an_ended_attempt_only_after_the_commit() {
    let mut bench = OwnerBench::new();
    bench.run("spins", 1);
    bench.owner.start_answered("w1");
    let finished = [("w1", sighting("spins", 1, SightedPhase::Finished, 90_000))];
    assert_eq!(bench.renew(&finished), [""; 0]);
    assert_eq!(bench.renew(&finished), [""; 0]);
    let batch = bench.take();
    assert_eq!(
        batch,
        [CellTransition::TaskEnded {
            task: task("spins", 0),
            attempt: AttemptNumber::new(1),
            outcome: TaskOutcome::Finished,
        }]
    );
    assert_eq!(bench.renew(&finished), [""; 0]);
    bench.done(&batch);
    assert_eq!(bench.renew(&[]), ["w1 spins/0 1"]);
    assert_eq!(bench.renew(&[]), [""; 0]);
}

#[test]
fn reports_during_a_long_commit_settle_an_attempt_once() {
    let mut bench = OwnerBench::new();
    bench.run("spins", 1);
    bench.owner.start_answered("w1");
    let finished = [("w1", sighting("spins", 1, SightedPhase::Finished, 90_000))];
    bench.renew(&finished);
    let batch = bench.take();
    for _ in 0..50 {
        bench.renew(&finished);
    }
    bench.done(&batch);
    assert_eq!(bench.renew(&[]), ["w1 spins/0 1"]);
}

#[test]
fn a_report_cannot_end_an_attempt_whose_start_is_withheld() {
    let mut bench = OwnerBench::new();
    bench.renew(&[]);
    bench.submit("spins", 1);
    bench.plan();
    bench.take();
    bench.wait(3_000);
    bench.renew(&[("w1", sighting("spins", 1, SightedPhase::Finished, 90_000))]);
    assert_eq!(bench.owner.settle_batch(CommitOutcome::ConfigMoved), []);
    bench.commit();
    assert!(matches!(
        bench.journal.tasks().get(&task("spins", 0)),
        Some(TaskEntry::Waiting(_))
    ));
}

#[test]
fn an_attempt_is_settled_by_the_entry_that_a_beaten_batch_is_joined_to() {
    let mut bench = OwnerBench::new();
    bench.run("spins", 1);
    bench.owner.start_answered("w1");
    let running = [("w1", sighting("spins", 1, SightedPhase::Running, 0))];
    bench.renew(&running);
    bench.submit("looms", 1);
    bench.plan();
    bench.take();
    bench.wait(3_000);
    bench.renew(&[("w1", sighting("spins", 1, SightedPhase::Finished, 90_000))]);
    assert_eq!(bench.owner.settle_batch(CommitOutcome::ConfigMoved), []);
    bench.commit();
    assert_eq!(bench.renew(&[]), ["w1 spins/0 1"]);
}
