//! What reports prove.

use crate::owner_bench::OwnerBench;
use crate::owner_bench::sighting;
use crate::owner_bench::starts;
use crate::owner_bench::task;
use crate::owner_bench::worker_name;
use sapphirestile_cells::CellTransition;
use sapphirestile_cells::SightedPhase;
use sapphirestile_cells::StopOrder;
use sapphirestile_cells::TaskEntry;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::JobName;

#[test]
fn a_late_finish_of_an_old_attempt_changes_nothing() {
    let mut bench = OwnerBench::new();
    bench.run("spins", 1);
    bench.owner.start_answered("w1");
    bench.renew(&[]);
    bench.list(&["w2"], true);
    bench.plan();
    let again = starts(bench.commit());
    assert_eq!(again[0].attempt, AttemptNumber::new(2));
    bench.owner.start_answered(again[0].worker.as_str());
    let running = sighting("spins", 2, SightedPhase::Running, 0);
    let late = sighting("spins", 1, SightedPhase::Finished, 90_000);
    bench.renew(&[(again[0].worker.as_str(), running), ("w2", late)]);
    assert_eq!(bench.take(), []);
    assert!(matches!(
        bench.owner.state().tasks().get(&task("spins", 0)),
        Some(TaskEntry::Assigned(cycle)) if cycle.phase().attempt.get() == 2
    ));
}

#[test]
fn a_checkpoint_is_written_once_however_often_it_is_reported() {
    let mut bench = OwnerBench::new();
    bench.run("spins", 1);
    bench.owner.start_answered("w1");
    let shown = [("w1", sighting("spins", 1, SightedPhase::Running, 61_000))];
    bench.renew(&shown);
    bench.renew(&shown);
    assert_eq!(
        bench.take(),
        [CellTransition::TaskCheckpointed {
            task: task("spins", 0),
            attempt: AttemptNumber::new(1),
            checkpoint_ms: 61_000,
        }]
    );
}

#[test]
fn a_checkpoint_beyond_all_measure_does_no_harm() {
    let mut bench = OwnerBench::new();
    bench.run("spins", 1);
    bench.owner.start_answered("w1");
    let shown = [("w1", sighting("spins", 1, SightedPhase::Running, u64::MAX))];
    bench.renew(&shown);
    bench.commit();
    bench.renew(&shown);
    assert_eq!(bench.take(), []);
}

#[test]
fn an_attempt_that_the_journal_does_not_know_is_stopped() {
    let mut bench = OwnerBench::new();
    bench.renew(&[("w2", sighting("spins", 7, SightedPhase::Running, 500))]);
    assert_eq!(
        bench.stops(),
        [StopOrder {
            worker: worker_name("w2"),
            epoch: bench.epoch(),
            task: task("spins", 0),
            attempt: AttemptNumber::new(7),
            checkpoint: false,
        }]
    );
    assert_eq!(bench.take(), []);
}

#[test]
fn a_cleared_zone_stops_each_attempt_with_a_checkpoint_and_counts_it_once() {
    let mut bench = OwnerBench::new();
    bench.run("spins", 1);
    bench.owner.start_answered("w1");
    bench.list(&["w1", "w2"], false);
    let shown = [("w1", sighting("spins", 1, SightedPhase::Running, 500))];
    bench.renew(&shown);
    bench.renew(&shown);
    let stop = StopOrder {
        worker: worker_name("w1"),
        epoch: bench.epoch(),
        task: task("spins", 0),
        attempt: AttemptNumber::new(1),
        checkpoint: true,
    };
    assert_eq!(bench.stops(), [stop.clone(), stop]);
    assert_eq!(bench.owner.evictions(), 1);
    bench.renew(&[("w1", sighting("spins", 1, SightedPhase::Stopped, 2_500))]);
    bench.commit();
    assert!(matches!(
        bench.journal.tasks().get(&task("spins", 0)),
        Some(TaskEntry::Waiting(cycle)) if cycle.phase().checkpoint_ms == 2_500
    ));
}

#[test]
fn a_cancelled_job_is_stopped_without_a_checkpoint_and_is_no_eviction() {
    let mut bench = OwnerBench::new();
    bench.run("spins", 1);
    bench.owner.start_answered("w1");
    let job = JobName::try_from("spins").unwrap();
    bench.owner.cancel_job(&job).unwrap();
    bench.renew(&[("w1", sighting("spins", 1, SightedPhase::Running, 500))]);
    let stops = bench.stops();
    assert_eq!((stops.len(), stops[0].checkpoint), (1, false));
    assert_eq!(bench.owner.evictions(), 0);
}

#[test]
fn an_answer_to_a_session_of_a_worker_that_went_and_came_back_is_dropped() {
    let mut bench = OwnerBench::new();
    bench.wait(1_000);
    let old = bench.sessions();
    bench.list(&["w2"], true);
    bench.wait(30_000);
    bench.list(&["w2"], true);
    bench.list(&["w1", "w2"], true);
    let new = bench.sessions();
    assert_eq!(new.len(), 1);
    bench.report("w1", old[0].ordinal, &[]);
    bench.submit("spins", 1);
    bench.plan();
    assert_eq!(starts(bench.commit()), []);
}

#[test]
fn a_worker_that_is_not_listed_is_given_nothing_and_keeps_what_it_has() {
    let mut bench = OwnerBench::new();
    bench.list(&["w1"], true);
    bench.run("spins", 1);
    bench.owner.start_answered("w1");
    bench.list(&[], true);
    let shown = [("w1", sighting("spins", 1, SightedPhase::Running, 500))];
    bench.renew(&shown);
    bench.submit("looms", 1);
    bench.plan();
    assert_eq!(starts(bench.commit()), []);
    assert_eq!(bench.stops(), []);
    bench.list(&["w1"], true);
    bench.renew(&shown);
    bench.plan();
    assert_eq!(starts(bench.commit()).len(), 1);
}
