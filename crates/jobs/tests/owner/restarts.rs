//! Room for long-running tasks that have to run again.

use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::WorkerEvent;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::ended;
use crate::test_values::job_spec;
use crate::test_values::running;
use crate::test_values::step;
use crate::test_values::worker;

pub const LASTING: &str = "aaaaaaaaaaaaaaaa";
const SHORT: &str = "bbbbbbbbbbbbbbbb";
pub const FIRST: &str = "cccccccccccccccc";
const OTHER: &str = "dddddddddddddddd";

pub fn lasting(cpu_milli: u64) -> JobSpec {
    let mut step = step(1, cpu_milli);
    step.is_long_running = true;
    job_spec(vec![step])
}

/// Splits a line of a start into the task and the worker.
pub fn start_of(line: &str) -> (String, String) {
    let rest = line.strip_prefix("start ").expect("a start");
    let (task, at) = rest.split_once('#').expect("a run");
    let (_, worker) = at.split_once(" at ").expect("a worker");
    (task.to_owned(), worker.to_owned())
}

/// Lets a worker leave, whose only run is stopped.
pub fn leave(fixture: &mut OwnerFixture, name: &str, cpu_milli: u64, task: &str) {
    let mut entry = worker(name, cpu_milli);
    entry.is_leaving = true;
    let now = fixture.time();
    fixture
        .owner
        .apply_worker_event(WorkerEvent::Present(entry), now);
    fixture.step();
    fixture.answer(name, &[], &[ended(1, task, 1, EndKind::Stopped)]);
}

/// Accepts a job whose tasks all start on the worker, and returns the first of them.
pub fn place(fixture: &mut OwnerFixture, job: &str, spec: JobSpec, worker: &str) -> String {
    fixture.accept(job, spec);
    fixture.step();
    let starts = fixture.store();
    for line in &starts {
        let (task, at) = start_of(line);
        assert_eq!(at, worker);
        fixture.started(&at, &task, 1, StartOutcome::Accepted);
    }
    start_of(&starts[0]).0
}

pub fn store_end(fixture: &mut OwnerFixture) {
    fixture.step();
    assert!(fixture.batch().is_some(), "the end is stored");
    let now = fixture.time();
    fixture.owner.confirm_batch(now, fixture.now);
}

/// Long-running tasks make no room by themselves. If they took every worker, none of them could
/// run again when one leaves.
#[test]
fn some_workers_are_kept_for_long_running_tasks_that_run_again() {
    let names: Vec<String> = (0..12).map(|number| format!("w-{number}")).collect();
    let workers = names.iter().map(|name| worker(name, 1_000));
    let mut fixture = OwnerFixture::with_workers(workers.collect());
    let mut lasting = step(12, 1_000);
    lasting.is_long_running = true;
    fixture.accept(LASTING, job_spec(vec![lasting]));
    fixture.step();
    let starts = fixture.store();
    assert_eq!(starts.len(), 11, "one worker of twelve is kept");
    for line in &starts {
        let (task, at) = start_of(line);
        fixture.started(&at, &task, 1, StartOutcome::Accepted);
    }
    assert!(fixture.step().is_empty());
    let (task, at) = start_of(&starts[0]);
    leave(&mut fixture, &at, 1_000, &task);
    fixture.step();
    let again = fixture.store();
    assert_eq!(again.len(), 1);
    assert_eq!(start_of(&again[0]).0, task);
}

/// The kept workers are not idle: short tasks use them.
#[test]
fn short_tasks_start_on_the_workers_that_are_kept() {
    let workers = (0..12).map(|number| worker(&format!("w-{number}"), 1_000));
    let mut fixture = OwnerFixture::with_workers(workers.collect());
    fixture.accept(SHORT, job_spec(vec![step(12, 1_000)]));
    fixture.step();
    assert_eq!(fixture.store().len(), 12);
}

/// A long-running task waits for a whole worker, on which short tasks run. Whenever one of them
/// ended, the next one took its place, so the long-running task never found enough at a time.
#[test]
fn short_tasks_leave_a_worker_to_a_long_running_task_that_waits() {
    let workers = vec![worker("w-1", 2_000), worker("w-2", 2_000)];
    let mut fixture = OwnerFixture::with_workers(workers);
    let mut lasting = step(1, 2_000);
    lasting.is_long_running = true;
    fixture.accept(LASTING, job_spec(vec![lasting]));
    fixture.step();
    let (task, at) = start_of(&fixture.store()[0]);
    fixture.started(&at, &task, 1, StartOutcome::Accepted);
    let other = if at == "w-1" { "w-2" } else { "w-1" };
    fixture.accept(SHORT, job_spec(vec![step(20, 1_000)]));
    fixture.step();
    for line in fixture.store() {
        let (task, at) = start_of(&line);
        assert_eq!(at, other);
        fixture.started(&at, &task, 1, StartOutcome::Accepted);
    }
    leave(&mut fixture, &at, 2_000, &task);
    fixture.step();
    assert!(fixture.batch().is_some(), "the end is stored");
    let now = fixture.time();
    fixture.owner.confirm_batch(now, fixture.now);
    // Now and then one of the two short tasks ends.
    let short = |index: u32| format!("{SHORT}.0.0.{index}");
    fixture.now += 500;
    fixture.step();
    fixture.answer(
        other,
        &[running(&short(1), 1)],
        &[ended(1, &short(0), 1, EndKind::Done)],
    );
    fixture.step();
    assert_eq!(fixture.store().len(), 1, "it has not waited for long");
    fixture.started(other, &short(2), 1, StartOutcome::Accepted);
    fixture.now += 600;
    fixture.step();
    fixture.answer(
        other,
        &[running(&short(2), 1)],
        &[
            ended(1, &short(0), 1, EndKind::Done),
            ended(2, &short(1), 1, EndKind::Done),
        ],
    );
    fixture.step();
    assert!(fixture.store().is_empty(), "the worker is held");
    fixture.now += 100;
    fixture.step();
    fixture.answer(
        other,
        &[],
        &[
            ended(1, &short(0), 1, EndKind::Done),
            ended(2, &short(1), 1, EndKind::Done),
            ended(3, &short(2), 1, EndKind::Done),
        ],
    );
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {task}#2 at {other}")]);
}

/// A worker was held for a long-running task that waited, but smaller ones that had never run
/// took each part that its shorter tasks left.
#[test]
fn first_runs_leave_a_worker_to_a_long_running_task_that_waits() {
    let workers = vec![worker("w-1", 2_000), worker("w-2", 3_000)];
    let mut fixture = OwnerFixture::with_workers(workers);
    let lasting = |cpu_milli| {
        let mut step = step(1, cpu_milli);
        step.is_long_running = true;
        job_spec(vec![step])
    };
    let other = place(&mut fixture, OTHER, lasting(1_000), "w-2");
    place(&mut fixture, SHORT, job_spec(vec![step(2, 1_000)]), "w-2");
    let task = place(&mut fixture, LASTING, lasting(2_000), "w-1");
    leave(&mut fixture, "w-1", 2_000, &task);
    store_end(&mut fixture);
    fixture.accept(FIRST, lasting(1_000));
    // The two short tasks end one after the other.
    fixture.now += 1_100;
    let short = |index: u32| format!("{SHORT}.0.0.{index}");
    let first = ended(1, &short(0), 1, EndKind::Done);
    let runs = [running(&other, 1), running(&short(1), 1)];
    fixture.answer("w-2", &runs, std::slice::from_ref(&first));
    fixture.step();
    let starts = fixture.store();
    assert!(starts.is_empty(), "the worker is held, got {starts:?}");
    fixture.now += 100;
    fixture.step();
    let second = ended(2, &short(1), 1, EndKind::Done);
    fixture.answer("w-2", &runs[..1], &[first, second]);
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {task}#2 at w-2")]);
}
