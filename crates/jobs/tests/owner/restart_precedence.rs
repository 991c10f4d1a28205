//! First runs of long-running tasks beside those that have to run again.

use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::EndedRun;
use sapphirestile_jobs::RestartNeed;
use sapphirestile_jobs::StartOutcome;

use crate::owner_fixture::OwnerFixture;
use crate::restarts::FIRST;
use crate::restarts::LASTING;
use crate::restarts::lasting;
use crate::restarts::leave;
use crate::restarts::place;
use crate::restarts::start_of;
use crate::restarts::store_end;
use crate::test_values::ended;
use crate::test_values::job_spec;
use crate::test_values::running;
use crate::test_values::step;
use crate::test_values::worker;

const SMALL: [&str; 3] = ["1111111111111111", "2222222222222222", "3333333333333333"];

/// A worker with a run of each of three jobs, and one that has left with a larger run, which
/// waits for more than a second. Another job waits for its first run.
fn restart_and_first_run() -> (OwnerFixture, String) {
    let workers = vec![worker("w-1", 2_000), worker("w-2", 3_000)];
    let mut fixture = OwnerFixture::with_workers(workers);
    for job in SMALL {
        place(&mut fixture, job, lasting(1_000), "w-2");
    }
    let task = place(&mut fixture, LASTING, lasting(2_000), "w-1");
    leave(&mut fixture, "w-1", 2_000, &task);
    store_end(&mut fixture);
    fixture.accept(FIRST, lasting(1_000));
    fixture.now += 1_100;
    fixture.step();
    (fixture, task)
}

/// Cancels one of the small jobs and lets its run end.
fn end_small(fixture: &mut OwnerFixture, ended_jobs: usize) {
    fixture.cancel(SMALL[ended_jobs - 1]);
    fixture.step();
    let task = |job: &str| format!("{job}.0.0.0");
    let (gone, left) = SMALL.split_at(ended_jobs);
    let left: Vec<_> = left.iter().map(|job| running(&task(job), 1)).collect();
    let gone: Vec<_> = (1..)
        .zip(gone)
        .map(|(number, job)| ended(number, &task(job), 1, EndKind::Stopped))
        .collect();
    fixture.answer("w-2", &left, &gone);
    fixture.step();
}

/// Each part of a full fleet that became free went to tasks that had never run.
#[test]
fn first_runs_leave_what_becomes_free_to_a_larger_task_that_runs_again() {
    let (mut fixture, task) = restart_and_first_run();
    end_small(&mut fixture, 1);
    let starts = fixture.store();
    assert!(
        starts.is_empty(),
        "too little for the larger, got {starts:?}"
    );
    fixture.now += 100;
    end_small(&mut fixture, 2);
    assert_eq!(fixture.store(), [format!("start {task}#2 at w-2")]);
}

/// A task that fits nowhere, as the large workers are gone, would keep all others waiting.
#[test]
fn first_runs_do_not_wait_for_ever_for_a_task_that_runs_again() {
    let (mut fixture, _) = restart_and_first_run();
    end_small(&mut fixture, 1);
    fixture.store();
    fixture.now += 30_000;
    for _ in 0..2 {
        fixture.step();
        fixture.answer("w-2", &[], &[]);
    }
    fixture.step();
    let starts = fixture.store();
    assert!(
        starts.contains(&format!("start {FIRST}.0.0.0#1 at w-2")),
        "got {starts:?}"
    );
}

/// New tasks of one cell took the room that the stopped tasks of a full one waited for.
#[test]
fn first_runs_wait_for_a_task_of_another_cell_that_runs_again() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 3_000)]);
    fixture.owner.set_cells(2);
    let need = |cpu_milli| RestartNeed {
        service: "sizing".into(),
        size: step(1, cpu_milli).size,
        required_label: None,
    };
    fixture.accept(FIRST, lasting(1_000));
    fixture.now += 2_100;
    fixture.answer("w-1", &[], &[]);
    fixture
        .owner
        .set_restarts_elsewhere(vec![need(2_000)], Vec::new());
    fixture.step();
    assert!(fixture.batch().is_none(), "it could run on w-1");
    fixture
        .owner
        .set_restarts_elsewhere(vec![need(4_000)], Vec::new());
    fixture.step();
    assert_eq!(fixture.store().len(), 1, "that one could not");
}

/// Owners of other cells cannot leave room to a task of which they do not know.
#[test]
fn task_that_finds_no_worker_to_run_again_is_reported() {
    let (mut fixture, _) = restart_and_first_run();
    let now = fixture.time();
    let needs = fixture.owner.restart_needs(now);
    let sizes: Vec<u64> = needs.iter().map(|need| need.size.cpu_milli).collect();
    assert_eq!(sizes, [2_000]);
    let batch = fixture.owner.take_batch(true, now).expect("a batch");
    assert!(batch.load.is_some());
    assert_eq!(batch.restarts, needs);
}

/// Short tasks took the room for a stopped task of a full cell before a report showed it.
#[test]
fn short_tasks_leave_a_worker_to_a_task_of_another_cell_that_runs_again() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_000)]);
    fixture.owner.set_cells(2);
    fixture.accept(SMALL[0], job_spec(vec![step(6, 1_000)]));
    fixture.step();
    let short = |index: u32| format!("{}.0.0.{index}", SMALL[0]);
    assert_eq!(fixture.store().len(), 2);
    for index in 0..2 {
        fixture.started("w-1", &short(index), 1, StartOutcome::Accepted);
    }
    let need = RestartNeed {
        service: "sizing".into(),
        size: step(1, 2_000).size,
        required_label: None,
    };
    fixture.owner.set_restarts_elsewhere(vec![need], Vec::new());
    let ends = |count: u32| -> Vec<EndedRun> {
        let end = |index| ended(u64::from(index) + 1, &short(index), 1, EndKind::Done);
        (0..count).map(end).collect()
    };
    for count in 1..=2 {
        fixture.now += 100;
        fixture.step();
        let left: Vec<_> = (count..2).map(|index| running(&short(index), 1)).collect();
        fixture.answer("w-1", &left, &ends(count));
        fixture.step();
        let starts = fixture.store();
        assert!(starts.is_empty(), "the worker is held, got {starts:?}");
    }
    let vacancies = fixture.owner.vacancies(fixture.time());
    assert_eq!(vacancies[0].free.cpu_milli, 2_000, "the other cell is told");
}

/// Tasks of other cells kept every worker of a small cell, so that its own jobs never began.
#[test]
fn short_tasks_find_room_in_a_small_cell_while_tasks_of_others_wait() {
    let names = ["w-1", "w-2", "w-3", "w-4"];
    let workers = names.iter().map(|name| worker(name, 2_000)).collect();
    let mut fixture = OwnerFixture::with_workers(workers);
    fixture.owner.set_cells(2);
    let need = RestartNeed {
        service: "sizing".into(),
        size: step(1, 2_000).size,
        required_label: None,
    };
    fixture
        .owner
        .set_restarts_elsewhere(vec![need; names.len()], Vec::new());
    fixture.accept(SMALL[0], job_spec(vec![step(1, 1_000)]));
    fixture.step();
    assert_eq!(fixture.store().len(), 1);
}

/// Nothing was held for a task that had waited for half a minute, so that short tasks kept it
/// from every worker of the other cells for ever.
#[test]
fn worker_is_held_for_a_task_of_another_cell_that_has_waited_for_very_long() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_000)]);
    fixture.owner.set_cells(2);
    fixture.accept(SMALL[0], job_spec(vec![step(2, 1_000)]));
    let need = RestartNeed {
        service: "sizing".into(),
        size: step(1, 2_000).size,
        required_label: None,
    };
    fixture.owner.set_restarts_elsewhere(Vec::new(), vec![need]);
    fixture.step();
    assert!(fixture.batch().is_none(), "the worker is held");
    fixture.accept(FIRST, lasting(1_000));
    fixture.now += 2_100;
    fixture.answer("w-1", &[], &[]);
    fixture.owner.set_restarts_elsewhere(Vec::new(), Vec::new());
    fixture.step();
    assert!(!fixture.store().is_empty());
}

/// Owners of other cells did not learn of it any more.
#[test]
fn task_that_has_waited_for_very_long_is_reported_as_late() {
    let (mut fixture, _) = restart_and_first_run();
    assert!(fixture.owner.late_restart_needs(fixture.time()).is_empty());
    fixture.now += 30_000;
    let now = fixture.time();
    assert!(fixture.owner.restart_needs(now).is_empty());
    let late = fixture.owner.late_restart_needs(now);
    let sizes: Vec<u64> = late.iter().map(|need| need.size.cpu_milli).collect();
    assert_eq!(sizes, [2_000]);
    let batch = fixture.owner.take_batch(true, now).expect("a batch");
    assert_eq!(batch.late_restarts, late);
}

/// Lets each worker answer that what it runs goes on.
fn go_on(fixture: &mut OwnerFixture, runs: &[(String, String)]) {
    for (task, at) in runs {
        fixture.answer(at, &[running(task, 1)], &[]);
    }
    fixture.step();
}

/// Guards against a new job that waits for half a minute with room on every worker: a larger
/// task had to run again, which fitted on none of them beside the runs that stay there.
#[test]
fn first_run_starts_beside_a_task_that_fits_nowhere() {
    let names = ["w-1", "w-2", "w-3", "w-4"];
    let workers = names.iter().map(|name| worker(name, 4_000)).collect();
    let mut fixture = OwnerFixture::with_workers(workers);
    let started = |fixture: &mut OwnerFixture, job, spec| -> Vec<(String, String)> {
        fixture.accept(job, spec);
        fixture.step();
        let starts = fixture.store();
        let runs: Vec<_> = starts.iter().map(|line| start_of(line)).collect();
        for (task, at) in &runs {
            fixture.started(at, task, 1, StartOutcome::Accepted);
        }
        runs
    };
    let (large, leaving) = started(&mut fixture, LASTING, lasting(3_000)).remove(0);
    let mut small = step(3, 1_500);
    small.is_long_running = true;
    small.per_worker_max = Some(1);
    let small_runs = started(&mut fixture, SMALL[0], job_spec(vec![small]));
    assert_eq!(small_runs.len(), 3);
    leave(&mut fixture, &leaving, 4_000, &large);
    store_end(&mut fixture);
    fixture.now += 1_100;
    go_on(&mut fixture, &small_runs);
    assert_eq!(fixture.owner.restart_needs(fixture.time()).len(), 1);
    fixture.accept(FIRST, lasting(500));
    fixture.step();
    let starts = fixture.store();
    assert_eq!(starts.len(), 1, "got {starts:?}");
    assert_eq!(start_of(&starts[0]).0, format!("{FIRST}.0.0.0"));
}

/// Guards against the same on the only worker that comes into question for the larger task: it
/// is kept for a while, and a new job has to begin within nine seconds.
#[test]
fn first_run_waits_for_six_seconds_at_most() {
    let (mut fixture, _) = restart_and_first_run();
    end_small(&mut fixture, 1);
    let left = SMALL[1..]
        .iter()
        .map(|job| running(&format!("{job}.0.0.0"), 1));
    let left: Vec<_> = left.collect();
    let first_end = [ended(
        1,
        &format!("{}.0.0.0", SMALL[0]),
        1,
        EndKind::Stopped,
    )];
    fixture.store();
    for waited_ms in [2_000, 4_000] {
        fixture.now += 2_000;
        fixture.answer("w-2", &left, &first_end);
        fixture.step();
        assert!(fixture.batch().is_none(), "after {waited_ms} ms");
    }
    fixture.now += 2_000;
    fixture.answer("w-2", &left, &first_end);
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {FIRST}.0.0.0#1 at w-2")]);
}

/// Twelve workers, eleven of which run a long-running task, and the name of the last one.
fn fixture_with_last_worker() -> (OwnerFixture, Vec<(String, String)>, String) {
    let names: Vec<String> = (0..12).map(|number| format!("w-{number}")).collect();
    let workers = names.iter().map(|name| worker(name, 1_000)).collect();
    let mut fixture = OwnerFixture::with_workers(workers);
    let mut wide = step(11, 1_000);
    wide.is_long_running = true;
    fixture.accept(LASTING, job_spec(vec![wide]));
    fixture.step();
    let starts = fixture.store();
    let runs: Vec<_> = starts.iter().map(|line| start_of(line)).collect();
    assert_eq!(runs.len(), 11);
    for (task, at) in &runs {
        fixture.started(at, task, 1, StartOutcome::Accepted);
    }
    let is_last = |name: &String| runs.iter().all(|(_, at)| at != name);
    let last = names.into_iter().find(is_last).unwrap();
    (fixture, runs, last)
}

/// Guards against new jobs that never begin on the workers that are kept free for tasks that
/// have to run again.
#[test]
fn first_run_takes_a_worker_that_is_kept_once_it_has_waited_long() {
    let (mut fixture, runs, last) = fixture_with_last_worker();
    fixture.accept(FIRST, lasting(1_000));
    for waited_ms in [2_000, 4_000] {
        fixture.now += 2_000;
        fixture.answer(&last, &[], &[]);
        go_on(&mut fixture, &runs);
        assert!(fixture.batch().is_none(), "after {waited_ms} ms");
    }
    fixture.now += 2_100;
    fixture.answer(&last, &[], &[]);
    go_on(&mut fixture, &runs);
    assert_eq!(
        fixture.store(),
        [format!("start {FIRST}.0.0.0#1 at {last}")]
    );
}

/// Guards against long-running tasks that crowd out shorter ones on the workers that are kept
/// for tasks that have to run again.
#[test]
fn first_run_leaves_a_worker_that_is_kept_to_the_shorter_tasks_that_use_it() {
    let (mut fixture, runs, last) = fixture_with_last_worker();
    fixture.accept(SMALL[0], job_spec(vec![step(1, 400)]));
    fixture.step();
    assert_eq!(fixture.store().len(), 1);
    let short = format!("{}.0.0.0", SMALL[0]);
    fixture.started(&last, &short, 1, StartOutcome::Accepted);
    fixture.accept(FIRST, lasting(500));
    for _ in 0..4 {
        fixture.now += 2_000;
        fixture.answer(&last, &[running(&short, 1)], &[]);
        go_on(&mut fixture, &runs);
        assert!(fixture.batch().is_none());
    }
    fixture.answer(&last, &[], &[ended(1, &short, 1, EndKind::Done)]);
    go_on(&mut fixture, &runs);
    let starts = fixture.store();
    assert_eq!(starts, [format!("start {FIRST}.0.0.0#1 at {last}")]);
}
