//! Batches, and effects that wait for them.

use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobStanding;
use sapphirestile_jobs::LeaseBounds;
use sapphirestile_jobs::RepeatRule;
use sapphirestile_jobs::StartOutcome;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::STOP_ACCEPTED;
use crate::test_values::ended;
use crate::test_values::job_spec;
use crate::test_values::long_running_job;
use crate::test_values::running;
use crate::test_values::step;
use crate::test_values::worker;

const JOB: &str = "aaaaaaaaaaaaaaaa";
const TASK: &str = "aaaaaaaaaaaaaaaa.0.0.0";

#[test]
fn step_starts_once_its_dependencies_are_done() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 9_000)]);
    let mut second = step(1, 1_000);
    second.after = vec![0];
    fixture.accept(JOB, job_spec(vec![step(1, 1_000), second]));
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {TASK}#1 at w-1")]);
    fixture.started("w-1", TASK, 1, StartOutcome::Accepted);
    fixture.answer("w-1", &[], &[ended(1, TASK, 1, EndKind::Done)]);
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {JOB}.0.1.0#1 at w-1")]);
}

#[test]
fn end_is_acknowledged_only_after_it_was_stored() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 9_000)]);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    fixture.store();
    fixture.started("w-1", TASK, 1, StartOutcome::Accepted);
    let before = fixture.latest_poll("w-1");
    fixture.answer("w-1", &[], &[ended(1, TASK, 1, EndKind::Done)]);
    fixture.step();
    assert_eq!(
        fixture.latest_poll("w-1"),
        before,
        "no poll before the batch is stored"
    );
    fixture.store();
    assert_eq!(fixture.latest_poll("w-1"), before + 1);
}

#[test]
fn repeated_end_counts_once() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 9_000)]);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    fixture.store();
    fixture.started("w-1", TASK, 1, StartOutcome::Accepted);
    fixture.answer("w-1", &[], &[ended(1, TASK, 1, EndKind::Failed)]);
    fixture.step();
    fixture.store();
    fixture.answer("w-1", &[], &[ended(1, TASK, 1, EndKind::Failed)]);
    fixture.step();
    assert!(fixture.batch().is_none());
}

#[test]
fn waiting_jobs_are_counted_by_queue() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.accept("bbbbbbbbbbbbbbbb", job_spec(vec![step(1, 1_000)]));
    fixture.step();
    assert_eq!(counts(&mut fixture), [("charts".to_owned(), 2)]);
    fixture.step();
    fixture.started("w-1", TASK, 1, StartOutcome::Accepted);
    assert_eq!(counts(&mut fixture), [("charts".to_owned(), 1)]);
}

/// Stores the next batch, and returns its counts of waiting jobs by queue.
fn counts(fixture: &mut OwnerFixture) -> Vec<(String, u32)> {
    let now = fixture.time();
    let batch = fixture.owner.take_batch(true, now);
    let counts = batch.expect("a batch is due").counts;
    fixture.owner.confirm_batch(now, fixture.now);
    let counts = counts.iter();
    counts
        .map(|count| (count.queue.to_string(), count.waiting))
        .collect()
}

/// Guards against jobs that are not counted as waiting though no task has started: they were
/// counted as begun when they were assigned, and stayed so when the start was refused.
#[test]
fn job_whose_start_is_refused_is_still_counted_as_waiting() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    fixture.store();
    fixture.started("w-1", TASK, 1, StartOutcome::Unhealthy);
    assert_eq!(counts(&mut fixture), [("charts".to_owned(), 1)]);
}

/// Guards against the same by a start that gets no answer, and is not shown by the worker.
#[test]
fn job_whose_start_was_lost_is_still_counted_as_waiting() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    fixture.store();
    fixture.started("w-1", TASK, 1, StartOutcome::Unknown);
    fixture.stopped("w-1", TASK, 1, STOP_ACCEPTED);
    fixture.answer("w-1", &[], &[]);
    fixture.wait(10);
    fixture.answer("w-1", &[], &[]);
    assert_eq!(counts(&mut fixture), [("charts".to_owned(), 1)]);
}

/// The owner may die between an assignment and the start.
#[test]
fn new_owner_counts_an_assigned_job_as_waiting_until_its_worker_shows_the_run() {
    let mut fixture = OwnerFixture::claimed(vec![worker("w-1", 1_000)]);
    let mut stored = long_running_job(JOB, 1);
    stored.progress.as_mut().unwrap().standing = JobStanding::Waiting;
    let now = fixture.time();
    fixture.owner.restore_job(stored, now, fixture.now);
    assert_eq!(counts(&mut fixture), [("charts".to_owned(), 1)]);
    fixture.step();
    fixture.answer("w-1", &[running(TASK, 4)], &[]);
    assert_eq!(counts(&mut fixture), []);
}

/// The start is not stored by a batch of its own, as that would be one more call for each job.
#[test]
fn begun_job_is_stored_with_the_next_batch() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    fixture.store();
    fixture.started("w-1", TASK, 1, StartOutcome::Accepted);
    assert!(!fixture.owner.has_changes());
    let now = fixture.time();
    let batch = fixture.owner.take_batch(true, now).expect("a batch is due");
    assert_eq!(batch.progress[0].1.standing, JobStanding::Running);
}

#[test]
fn occurrences_begin_when_due() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 9_000)]);
    let mut repeated = job_spec(vec![step(1, 1_000)]);
    repeated.repeat = Some(RepeatRule {
        first_unix_ms: 2_000,
        interval_ms: 500,
        occurrences: 2,
    });
    fixture.accept(JOB, repeated);
    fixture.answer("w-1", &[], &[]);
    assert!(fixture.wait(999).is_empty());
    assert!(fixture.batch().is_none());
    fixture.answer("w-1", &[], &[]);
    fixture.wait(1);
    assert_eq!(fixture.store(), [format!("start {JOB}.0.0.0#1 at w-1")]);
    fixture.answer("w-1", &[], &[]);
    fixture.wait(500);
    assert_eq!(fixture.store(), [format!("start {JOB}.1.0.0#1 at w-1")]);
}

#[test]
fn ended_job_is_dropped_after_its_retention() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 9_000)]);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.cancel(JOB);
    let batch = fixture.batch().unwrap();
    assert_eq!(batch.progress[0].1.standing, JobStanding::Cancelled);
    let now = fixture.time();
    fixture.owner.confirm_batch(now, fixture.now);
    fixture.wait(60_001);
    let batch = fixture.batch().unwrap();
    assert_eq!(batch.forgotten.len(), 1);
}

/// Guards against rows of early cancellations that stay in the store for ever.
#[test]
fn cancellation_of_a_job_that_was_never_stored_is_dropped_after_its_retention() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 9_000)]);
    let job = JobIdentity::try_from(JOB).unwrap();
    let now = fixture.time();
    fixture.owner.retain_cancellation(job, now);
    assert!(fixture.batch().is_none());
    fixture.wait(60_001);
    let batch = fixture.batch().unwrap();
    assert_eq!(batch.forgotten, [job]);
    assert_eq!(batch.progress, []);
}

/// No worker has responded by then, so the cell would seem to have no room.
#[test]
fn first_batch_of_an_owner_does_not_replace_the_load_of_the_previous_one() {
    let entries = vec![worker("w-1", 2_000)];
    let mut fixture = OwnerFixture::claimed_at(1_000, LeaseBounds::of_all(0), entries);
    let now = fixture.time();
    let batch = fixture.owner.take_batch(true, now);
    assert_eq!(batch.expect("the first batch is due").load, None);
}

/// Guards against a completed job that runs once more: the rows of a job that is being deleted
/// are listed until the deletion is stored, and would look like those of a new job.
#[test]
fn forgotten_job_is_not_taken_for_a_new_one_while_its_deletion_is_stored() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 9_000)]);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    fixture.store();
    fixture.started("w-1", TASK, 1, StartOutcome::Accepted);
    fixture.answer("w-1", &[], &[ended(1, TASK, 1, EndKind::Done)]);
    fixture.store();
    fixture.answer("w-1", &[], &[]);
    fixture.wait(60_001);
    let batch = fixture.batch().expect("the deletion is to be stored");
    assert_eq!(batch.forgotten.len(), 1);
    assert!(fixture.owner.is_departing(&batch.forgotten[0]));
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.answer("w-1", &[], &[]);
    assert!(fixture.step().is_empty(), "the forgotten job starts again");
    let now = fixture.time();
    fixture.owner.confirm_batch(now, fixture.now);
    assert!(fixture.step().is_empty(), "the forgotten job starts again");
    assert!(
        fixture.batch().is_none(),
        "the forgotten job is stored again"
    );
    assert_eq!(fixture.owner.counts().0, 0, "jobs that are kept");
}

/// Guards against a cell that stands still: the row of a job with many active occurrences
/// outgrew what the store takes, and the batch with it was refused for ever.
#[test]
fn occurrences_wait_until_the_row_of_their_job_has_room() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    let mut repeated = job_spec(vec![step(4_000, 1_000)]);
    repeated.repeat = Some(RepeatRule {
        first_unix_ms: 0,
        interval_ms: 100,
        occurrences: 120,
    });
    fixture.accept(JOB, repeated);
    fixture.now += 60_000;
    fixture.answer("w-1", &[], &[]);
    fixture.step();
    let batch = fixture.batch().expect("the first task is assigned");
    let progress = &batch.progress[0].1;
    let tasks = progress
        .occurrences
        .iter()
        .flat_map(|occurrence| &occurrence.steps);
    assert_eq!(tasks.map(|step| step.tasks.len()).sum::<usize>(), 8_000);
}
