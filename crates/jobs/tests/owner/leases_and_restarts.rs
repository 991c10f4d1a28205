//! Workers that stop responding, restart, or have runs of an earlier owner.

use sapphirestile_jobs::Assignment;
use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobPlace;
use sapphirestile_jobs::JobProgress;
use sapphirestile_jobs::JobStanding;
use sapphirestile_jobs::OccurrenceProgress;
use sapphirestile_jobs::PollOutcome;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StoredJob;
use sapphirestile_jobs::TaskStage;
use sapphirestile_jobs::WorkerEvent;
use sapphirestile_jobs::WorkerIncarnation;

use crate::owner_fixture::AUTHORITY_MS;
use crate::owner_fixture::LEASE_MAX_MS;
use crate::owner_fixture::LEASE_MS;
use crate::owner_fixture::OwnerFixture;
use crate::test_values::ended;
use crate::test_values::job_spec;
use crate::test_values::running;
use crate::test_values::step;
use crate::test_values::worker;
use crate::test_values::worker_name;

const JOB: &str = "aaaaaaaaaaaaaaaa";
const TASK: &str = "aaaaaaaaaaaaaaaa.0.0.0";

fn fixture_with_run() -> OwnerFixture {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_000), worker("w-2", 1_000)]);
    fixture.accept(JOB, job_spec(vec![step(1, 2_000)]));
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {TASK}#1 at w-1")]);
    fixture.started("w-1", TASK, 1, StartOutcome::Accepted);
    fixture
}

#[test]
fn polls_of_an_unresponsive_worker_do_not_extend_its_lease() {
    let mut fixture = fixture_with_run();
    fixture
        .owner
        .replace_workers(vec![worker("w-3", 2_000)], fixture.time());
    fixture.step();
    fixture.answer("w-3", &[], &[]);
    let mut restarted_after = None;
    let mut answered = 0;
    for _ in 0..80 {
        fixture.wait(100);
        if fixture.latest_poll("w-1") > answered {
            answered = fixture.latest_poll("w-1");
            fixture.finish_poll("w-1", PollOutcome::NoResponse);
        }
        fixture.answer("w-3", &[], &[]);
        fixture.step();
        if fixture.batch().is_some() {
            restarted_after = Some(fixture.now - 1_000);
            break;
        }
    }
    let after = restarted_after.expect("the run was never given to another worker");
    assert!(
        after >= LEASE_MS,
        "reassigned after {after} ms, before the lease of {LEASE_MS} ms ended"
    );
}

/// The owner reads a response late: the lease has ended by then, but the run had completed
/// before. Giving it up by the lease alone starts the task a second time.
#[test]
fn late_owner_asks_a_worker_before_it_gives_up_its_runs() {
    let mut fixture = fixture_with_run();
    fixture
        .owner
        .replace_workers(vec![worker("w-3", 2_000)], fixture.time());
    fixture.step();
    fixture.answer("w-3", &[], &[]);
    fixture.wait(LEASE_MAX_MS + 500);
    fixture.answer("w-3", &[], &[]);
    fixture.step();
    assert!(fixture.batch().is_none(), "the outcome of the poll is open");
    fixture.answer("w-1", &[], &[ended(1, TASK, 1, EndKind::Done)]);
    fixture.assert_completed();
}

/// The worker is listed, so it lives, but it cannot be reached while its lease ends. It may
/// have completed the run, which must not run a second time then.
#[test]
fn run_on_a_listed_worker_is_not_given_up_when_its_lease_ends() {
    let mut fixture = fixture_with_run();
    fixture
        .owner
        .apply_worker_event(WorkerEvent::Present(worker("w-3", 2_000)), fixture.time());
    fixture.step();
    fixture.answer("w-3", &[], &[]);
    let mut answered = 0;
    for _ in 0..80 {
        fixture.wait(100);
        if fixture.latest_poll("w-1") > answered {
            answered = fixture.latest_poll("w-1");
            fixture.finish_poll("w-1", PollOutcome::NoResponse);
        }
        fixture.answer("w-3", &[], &[]);
        fixture.step();
        assert!(fixture.batch().is_none(), "given up at {} ms", fixture.now);
    }
    fixture.answer("w-1", &[], &[ended(1, TASK, 1, EndKind::Done)]);
    fixture.assert_completed();
}

/// The owner was suspended. A poll that failed before says nothing about the worker now.
#[test]
fn owner_that_was_suspended_asks_a_worker_again_before_it_gives_up_its_runs() {
    let mut fixture = fixture_with_run();
    fixture
        .owner
        .replace_workers(vec![worker("w-3", 2_000)], fixture.time());
    fixture.step();
    fixture.finish_poll("w-1", PollOutcome::NoResponse);
    fixture.wait(LEASE_MAX_MS + 500);
    fixture.answer("w-3", &[], &[]);
    fixture.step();
    assert!(fixture.batch().is_none(), "w-1 was not asked again");
    fixture.answer("w-1", &[], &[ended(1, TASK, 1, EndKind::Done)]);
    fixture.assert_completed();
}

#[test]
fn leases_are_renewed_while_ends_cannot_be_stored() {
    let mut fixture = fixture_with_run();
    fixture.accept("bbbbbbbbbbbbbbbb", job_spec(vec![step(1, 500)]));
    fixture.step();
    fixture.store();
    fixture.started("w-2", "bbbbbbbbbbbbbbbb.0.0.0", 1, StartOutcome::Accepted);
    let end = [ended(1, "bbbbbbbbbbbbbbbb.0.0.0", 1, EndKind::Done)];
    fixture.answer("w-2", &[], &end);
    fixture.step();
    fixture.batch().unwrap();
    let before = fixture.latest_poll("w-2");
    fixture.wait(1_100);
    assert_eq!(
        fixture.latest_poll("w-2"),
        before,
        "the poll waits for the batch"
    );
    fixture.wait(200);
    assert_eq!(
        fixture.latest_poll("w-2"),
        before + 1,
        "the poll does not wait any longer"
    );
    fixture.answer("w-2", &[], &end);
    let now = fixture.time();
    fixture.owner.confirm_batch(now, fixture.now);
    fixture.step();
    assert_eq!(fixture.latest_poll("w-2"), before + 2);
}

#[test]
fn unresponsive_worker_gets_no_starts() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_000)]);
    fixture.step();
    fixture.finish_poll("w-1", PollOutcome::NoResponse);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    assert!(fixture.batch().is_none());
}

#[test]
fn restarted_worker_keeps_runs_of_its_new_incarnation() {
    let mut fixture = fixture_with_run();
    fixture.step();
    fixture.respond_as_incarnation("w-1", 2, &[running(TASK, 1)], &[]);
    fixture.step();
    assert!(fixture.batch().is_none(), "the run is still listed");
    fixture.respond_as_incarnation("w-1", 2, &[], &[]);
    fixture.list_incarnation("w-1", 2);
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {TASK}#2 at w-1")]);
}

fn stored(standing: JobStanding) -> StoredJob {
    let spec = job_spec(vec![step(1, 1_000)]);
    let mut occurrence = OccurrenceProgress::new(0, &spec);
    occurrence.steps[0].tasks[0].run = 4;
    occurrence.steps[0].tasks[0].stage = TaskStage::Assigned(Assignment {
        worker: worker_name("w-1"),
        incarnation: WorkerIncarnation::from_unix_ms(1),
    });
    let progress = JobProgress {
        standing,
        begun: 1,
        occurrences: vec![occurrence],
    };
    StoredJob {
        identity: JobIdentity::try_from(JOB).unwrap(),
        spec,
        progress: Some(progress),
        place: JobPlace::Home,
        is_cancelled: false,
    }
}

#[test]
fn new_owner_takes_over_running_tasks() {
    let mut fixture = OwnerFixture::claimed(vec![worker("w-1", 2_000)]);
    fixture
        .owner
        .restore_job(stored(JobStanding::Running), fixture.time(), fixture.now);
    fixture.answer("w-1", &[running(TASK, 4)], &[]);
    assert!(fixture.step().is_empty());
    assert!(fixture.batch().is_none());
}

#[test]
fn new_owner_accepts_completion_of_an_earlier_run() {
    let mut fixture = OwnerFixture::claimed(vec![worker("w-1", 2_000), worker("w-2", 2_000)]);
    fixture
        .owner
        .restore_job(stored(JobStanding::Running), fixture.time(), fixture.now);
    fixture.answer("w-1", &[running(TASK, 4)], &[]);
    fixture.answer("w-2", &[], &[ended(1, TASK, 3, EndKind::Done)]);
    assert_eq!(fixture.step(), [format!("stop {TASK}#4 at w-1")]);
    let batch = fixture.batch().unwrap();
    assert_eq!(batch.progress[0].1.standing, JobStanding::Completed);
}

/// The earlier owner had started a copy. The new one inherits the latest run only, but the
/// other one's failure uses up an attempt all the same.
#[test]
fn new_owner_counts_the_failure_of_an_earlier_run_once() {
    let mut fixture = OwnerFixture::claimed(vec![worker("w-1", 2_000), worker("w-2", 2_000)]);
    fixture
        .owner
        .restore_job(stored(JobStanding::Running), fixture.time(), fixture.now);
    fixture.answer("w-1", &[running(TASK, 4)], &[]);
    let failure = ended(1, TASK, 3, EndKind::Failed);
    fixture.answer("w-2", &[], std::slice::from_ref(&failure));
    fixture.step();
    assert!(fixture.store().is_empty(), "run 4 goes on");
    // The worker lists the end again until its number is acknowledged.
    fixture.answer("w-2", &[], &[failure]);
    fixture.step();
    fixture.answer("w-1", &[], &[ended(1, TASK, 4, EndKind::Failed)]);
    assert!(fixture.step().is_empty(), "both attempts are used up");
    let batch = fixture.batch().expect("the failure is to be stored");
    assert_eq!(batch.progress[0].1.standing, JobStanding::Failed);
}

/// The earlier owner had counted a failure, and ended before the worker dropped it.
#[test]
fn new_owner_does_not_count_a_stored_failure_again() {
    let mut fixture = OwnerFixture::claimed(vec![worker("w-1", 2_000)]);
    let mut job = stored(JobStanding::Running);
    let progress = job.progress.as_mut().unwrap();
    let task = &mut progress.occurrences[0].steps[0].tasks[0];
    task.failed_runs = vec![4];
    task.stage = TaskStage::Waiting;
    fixture.owner.restore_job(job, fixture.time(), fixture.now);
    fixture.answer("w-1", &[], &[ended(1, TASK, 4, EndKind::Failed)]);
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {TASK}#5 at w-1")]);
}

#[test]
fn new_owner_restarts_runs_missing_from_a_response() {
    let mut fixture = OwnerFixture::claimed(vec![worker("w-1", 2_000)]);
    fixture
        .owner
        .restore_job(stored(JobStanding::Running), fixture.time(), fixture.now);
    fixture.answer("w-1", &[], &[]);
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {TASK}#5 at w-1")]);
}

#[test]
fn new_owner_waits_for_leases_of_an_unreachable_worker() {
    let mut fixture = OwnerFixture::claimed(vec![worker("w-2", 2_000)]);
    fixture
        .owner
        .restore_job(stored(JobStanding::Running), fixture.time(), fixture.now);
    fixture.answer("w-2", &[], &[]);
    for _ in 0..(AUTHORITY_MS / 500) {
        fixture.wait(500);
        fixture.answer("w-2", &[], &[]);
        assert!(
            fixture.batch().is_none(),
            "reassigned too early, at {} ms",
            fixture.now
        );
    }
    fixture.wait(500);
    fixture.answer("w-2", &[], &[]);
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {TASK}#5 at w-2")]);
}

#[test]
fn new_owner_stops_runs_of_a_cancelled_job() {
    let mut fixture = OwnerFixture::claimed(vec![worker("w-1", 2_000)]);
    fixture
        .owner
        .restore_job(stored(JobStanding::Cancelled), fixture.time(), fixture.now);
    fixture.answer("w-1", &[running(TASK, 4)], &[]);
    assert_eq!(fixture.step(), [format!("stop {TASK}#4 at w-1")]);
}

#[test]
fn owner_grants_no_lease_beyond_its_authority() {
    let mut fixture = fixture_with_run();
    fixture.now += AUTHORITY_MS;
    fixture.accept("bbbbbbbbbbbbbbbb", job_spec(vec![step(1, 500)]));
    fixture.answer("w-2", &[], &[]);
    fixture.step();
    fixture.owner.take_batch(true, fixture.time());
    // Only storing this batch would renew the authority. Before that, nothing starts.
    assert!(fixture.step().is_empty());
}

/// A worker that gets no lease responds at once, so polls without a pause would follow.
#[test]
fn owner_without_authority_does_not_poll_in_a_tight_loop() {
    let mut fixture = fixture_with_run();
    fixture.step();
    fixture.now += AUTHORITY_MS;
    fixture.answer("w-1", &[running(TASK, 1)], &[]);
    fixture.step();
    let poll = fixture.latest_poll("w-1");
    for _ in 0..5 {
        fixture.answer("w-1", &[running(TASK, 1)], &[]);
        fixture.step();
    }
    assert!(fixture.latest_poll("w-1") <= poll + 1);
}

#[test]
fn polls_wait_no_longer_than_the_lease_that_they_grant_at_the_end_of_the_authority() {
    let mut fixture = fixture_with_run();
    fixture.step();
    fixture.now += AUTHORITY_MS - 400;
    fixture.answer("w-1", &[running(TASK, 1)], &[]);
    fixture.step();
    assert_eq!(fixture.granted("w-1"), Some(fixture.now + 400));
    assert!(fixture.poll_wait_ms("w-1") <= 100);
}
