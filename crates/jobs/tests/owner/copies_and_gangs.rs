//! Copies of slow runs, and gangs.

use sapphirestile_jobs::Assignment;
use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::JobStanding;
use sapphirestile_jobs::OccurrenceProgress;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StoredJob;
use sapphirestile_jobs::TaskStage;
use sapphirestile_jobs::WorkerIncarnation;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::STOP_ACCEPTED;
use crate::test_values::ended;
use crate::test_values::job_spec;
use crate::test_values::long_running_job;
use crate::test_values::running;
use crate::test_values::step;
use crate::test_values::worker;
use crate::test_values::worker_name;

const FIRST: &str = "aaaaaaaaaaaaaaaa";
const JOB: &str = "bbbbbbbbbbbbbbbb";

/// A fixture in which one task of the queue has completed after 300 ms.
fn fixture_with_known_durations() -> OwnerFixture {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_000), worker("w-2", 2_000)]);
    fixture.accept(FIRST, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    fixture.store();
    let task = format!("{FIRST}.0.0.0");
    let worker = if fixture.latest_poll("w-1") > 0
        && fixture.owner.workers().next().unwrap().1.runs.is_empty()
    {
        "w-2"
    } else {
        "w-1"
    };
    fixture.started(worker, &task, 1, StartOutcome::Accepted);
    fixture.now += 300;
    fixture.answer(worker, &[], &[ended(1, &task, 1, EndKind::Done)]);
    fixture.step();
    fixture.store();
    fixture
}

#[test]
fn slow_run_is_copied_and_the_first_completion_counts() {
    let mut fixture = fixture_with_known_durations();
    let mut copied = step(1, 2_000);
    copied.is_speculative = true;
    fixture.accept(JOB, job_spec(vec![copied]));
    fixture.step();
    let start = fixture.store();
    let task = format!("{JOB}.0.0.0");
    let first = start[0].rsplit(' ').next().unwrap().to_owned();
    let second = if first == "w-1" { "w-2" } else { "w-1" };
    fixture.started(&first, &task, 1, StartOutcome::Accepted);
    fixture.now += 900;
    fixture.answer(&first, &[running(&task, 1)], &[]);
    fixture.answer(second, &[], &[]);
    fixture.wait(0);
    assert_eq!(fixture.store(), [format!("start {task}#2 at {second}")]);
    fixture.started(second, &task, 2, StartOutcome::Accepted);
    fixture.answer(&first, &[], &[ended(2, &task, 1, EndKind::Done)]);
    assert_eq!(fixture.step(), [format!("stop {task}#2 at {second}")]);
    assert!(fixture.batch().unwrap().progress[0].1.standing.is_final());
}

#[test]
fn gang_starts_completely_or_not_at_all() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_000), worker("w-2", 1_000)]);
    let mut gang = step(4, 1_000);
    gang.is_gang = true;
    fixture.accept(JOB, job_spec(vec![gang.clone()]));
    fixture.step();
    assert!(
        fixture.batch().is_none(),
        "there is capacity for three of four tasks"
    );
    gang.tasks = 3;
    fixture.accept(FIRST, job_spec(vec![gang]));
    fixture.step();
    let mut starts = fixture.store();
    starts.sort();
    assert_eq!(starts.len(), 3);
    assert!(
        starts.iter().all(|line| line.contains("#1 at ")),
        "{starts:?}"
    );
}

#[test]
fn gang_completes_with_one_task_and_stops_when_one_fails() {
    let gang = |fixture: &mut OwnerFixture, job: &str| {
        let mut gang = step(2, 1_000);
        gang.is_gang = true;
        fixture.accept(job, job_spec(vec![gang]));
        fixture.step();
        assert_eq!(fixture.store().len(), 2);
        for index in 0..2 {
            let task = format!("{job}.0.0.{index}");
            fixture.started("w-1", &task, 1, StartOutcome::Accepted);
        }
    };
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_000)]);
    gang(&mut fixture, JOB);
    let [one, other] = [0, 1].map(|index| format!("{JOB}.0.0.{index}"));
    fixture.answer(
        "w-1",
        &[running(&other, 1)],
        &[ended(1, &one, 1, EndKind::Failed)],
    );
    assert_eq!(fixture.step(), [format!("stop {other}#1 at w-1")]);

    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_000)]);
    gang(&mut fixture, JOB);
    fixture.answer(
        "w-1",
        &[running(&other, 1)],
        &[ended(1, &one, 1, EndKind::Done)],
    );
    fixture.step();
    assert!(fixture.batch().unwrap().progress[0].1.standing.is_final());
}

/// A worker restarts after the gang has completed there, and the other reports the completion.
#[test]
fn gang_is_done_though_a_member_is_missing_before_another_reports_the_completion() {
    let workers = vec![worker("w-1", 1_000), worker("w-2", 1_000)];
    let mut fixture = OwnerFixture::with_workers(workers);
    let mut gang = step(2, 1_000);
    gang.is_gang = true;
    fixture.accept(JOB, job_spec(vec![gang]));
    fixture.step();
    let starts = fixture.store();
    let [one, other] = [0, 1].map(|index| format!("{JOB}.0.0.{index}"));
    let worker_of = |task: &str| {
        let start = starts.iter().find(|start| start.contains(task)).unwrap();
        start.rsplit(' ').next().unwrap().to_owned()
    };
    let (first, second) = (worker_of(&one), worker_of(&other));
    fixture.started(&first, &one, 1, StartOutcome::Accepted);
    fixture.started(&second, &other, 1, StartOutcome::Accepted);
    fixture.step();
    fixture.respond_as_incarnation(&first, 1, &[running(&one, 1)], &[]);
    fixture.step();
    fixture.respond_as_incarnation(&first, 2, &[], &[]);
    fixture.step();
    fixture.answer(&second, &[], &[ended(1, &other, 1, EndKind::Done)]);
    fixture.step();
    let batch = fixture.batch().expect("the completion is to be stored");
    assert_eq!(batch.progress[0].1.standing, JobStanding::Completed);
}

/// A step of 4,000 with copies whose task an earlier owner has started on w-1 as run 1 and
/// copied to w-2 as run 2.
fn copied_job() -> StoredJob {
    let mut copied = step(1, 4_000);
    copied.is_speculative = true;
    let mut job = long_running_job(FIRST, 1);
    job.spec = job_spec(vec![copied]);
    let mut occurrence = OccurrenceProgress::new(0, &job.spec);
    occurrence.steps[0].tasks[0].run = 2;
    occurrence.steps[0].tasks[0].stage = TaskStage::Assigned(Assignment {
        worker: worker_name("w-2"),
        incarnation: WorkerIncarnation::from_unix_ms(1),
    });
    let progress = job.progress.as_mut().unwrap();
    progress.occurrences = vec![occurrence];
    job
}

/// Guards against a worker that is brought over its capacity: the record of a task names its
/// latest run only, so a new owner did not count the first run of a copied task.
#[test]
fn new_owner_counts_a_run_beside_a_copy_until_it_has_ended() {
    let entries = vec![worker("w-1", 16_000), worker("w-2", 4_000)];
    let mut fixture = OwnerFixture::claimed(entries);
    let now = fixture.time();
    fixture.owner.restore_job(copied_job(), now, fixture.now);
    let task = format!("{FIRST}.0.0.0");
    fixture.answer("w-1", &[running(&task, 1)], &[]);
    fixture.answer("w-2", &[running(&task, 2)], &[]);
    fixture.accept(JOB, job_spec(vec![step(1, 14_000)]));
    assert_eq!(fixture.step(), [format!("stop {task}#1 at w-1")]);
    assert!(fixture.batch().is_none(), "w-1 has room for 12,000");
    fixture.stopped("w-1", &task, 1, STOP_ACCEPTED);
    fixture.answer("w-1", &[running(&task, 1)], &[]);
    fixture.step();
    assert!(fixture.batch().is_none(), "the run is being stopped");
    fixture.answer("w-1", &[], &[ended(1, &task, 1, EndKind::Stopped)]);
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {JOB}.0.0.0#1 at w-1")]);
}

/// Guards against a gang that is shown as failed though it has attempts left: each member of
/// one failed run used up an attempt.
#[test]
fn members_that_fail_in_one_run_use_up_one_attempt() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 9_000)]);
    let mut gang = step(4, 1_000);
    gang.is_gang = true;
    fixture.accept(JOB, job_spec(vec![gang]));
    let tasks = [0, 1, 2, 3].map(|index| format!("{JOB}.0.0.{index}"));
    let mut ends = Vec::new();
    for run in 1..=2 {
        fixture.now += 5_000;
        fixture.answer("w-1", &[], &ends);
        fixture.step();
        assert_eq!(fixture.store().len(), 4, "starts of run {run}");
        for task in &tasks {
            fixture.started("w-1", task, run, StartOutcome::Accepted);
            ends.push(ended(ends.len() as u64 + 1, task, run, EndKind::Failed));
        }
        fixture.answer("w-1", &[], &ends);
        fixture.step();
        let batch = fixture.batch().expect("the ends are to be stored");
        let is_last = run == 2;
        let standing = batch.progress[0].1.standing;
        assert_eq!(standing == JobStanding::Failed, is_last, "after run {run}");
        let now = fixture.time();
        fixture.owner.confirm_batch(now, fixture.now);
    }
}
