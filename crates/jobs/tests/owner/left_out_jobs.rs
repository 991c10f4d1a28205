//! Jobs that an owner has left out, since it cannot read their rows.

use std::sync::Arc;

use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobStanding;
use sapphirestile_jobs::LeaseBounds;
use sapphirestile_jobs::ServicePolicy;
use sapphirestile_jobs::UnappliedEnd;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::config;
use crate::test_values::ended;
use crate::test_values::job_spec;
use crate::test_values::restored_job;
use crate::test_values::running;
use crate::test_values::step;
use crate::test_values::task_identity;
use crate::test_values::worker;
use crate::test_values::worker_name;

const LEFT_OUT: &str = "aaaaaaaaaaaaaaaa";
const TASK: &str = "aaaaaaaaaaaaaaaa.0.0.0";
const OTHER: &str = "bbbbbbbbbbbbbbbb";
/// A bound on the leases of earlier owners that is above that of this one.
const INHERITED_MS: u64 = 20_000;
const START_OF_OTHER: &str = "start bbbbbbbbbbbbbbbb.0.0.0#1 at w-1";

fn identity(job: &str) -> JobIdentity {
    JobIdentity::try_from(job).unwrap()
}

fn fixture_without_job() -> OwnerFixture {
    let mut fixture = OwnerFixture::claimed(vec![worker("w-1", 1_000)]);
    fixture.owner.leave_out(identity(LEFT_OUT));
    fixture
}

/// Guards against work of a live job that is stopped and lost.
#[test]
fn run_of_a_job_that_was_left_out_goes_on() {
    let mut fixture = fixture_without_job();
    fixture.answer("w-1", &[running(TASK, 3)], &[]);
    assert_eq!(fixture.step(), [] as [&str; 0]);
    assert!(fixture.granted("w-1").is_some(), "its lease is extended");
}

/// Guards against tasks that go on after their job was cancelled.
#[test]
fn run_of_a_job_that_was_left_out_and_cancelled_is_stopped() {
    let mut fixture = fixture_without_job();
    fixture.owner.cancel_left_out(&identity(LEFT_OUT));
    fixture.answer("w-1", &[running(TASK, 3)], &[]);
    assert_eq!(fixture.step(), [format!("stop {TASK}#3 at w-1")]);
}

/// Guards against an end that is acknowledged and that no record holds.
#[test]
fn end_of_a_run_of_a_job_that_was_left_out_is_stored_before_it_is_acknowledged() {
    let mut fixture = fixture_without_job();
    let end = ended(1, TASK, 3, EndKind::Done);
    fixture.answer("w-1", &[], std::slice::from_ref(&end));
    fixture.step();
    let now = fixture.time();
    let batch = fixture.owner.take_batch(false, now).unwrap();
    let expected = UnappliedEnd {
        worker: worker_name("w-1"),
        ended: end,
    };
    assert_eq!(batch.unapplied_ends, [expected]);
    let before = fixture.acknowledged("w-1").map(|end| end.number);
    assert_ne!(before, Some(1));
    fixture.owner.confirm_batch(now, fixture.now);
    fixture.step();
    let after = fixture.acknowledged("w-1").map(|end| end.number);
    assert_eq!(after, Some(1));
}

/// Guards against a task that runs again though it is done.
#[test]
fn end_that_was_stored_for_a_job_is_applied_by_an_owner_that_reads_it() {
    let mut fixture = OwnerFixture::claimed(vec![worker("w-1", 1_000)]);
    let now = fixture.time();
    let stored = restored_job(LEFT_OUT, job_spec(vec![step(1, 500)]), 3, 1);
    fixture.owner.restore_job(stored, now, 0);
    let end = UnappliedEnd {
        worker: worker_name("w-1"),
        ended: ended(1, TASK, 3, EndKind::Done),
    };
    fixture.owner.apply_stored_end(&end, now, 0);
    fixture.answer("w-1", &[], &[]);
    assert_eq!(fixture.step(), [] as [&str; 0]);
    let batch = fixture.owner.take_batch(false, now).unwrap();
    assert_eq!(batch.progress[0].1.standing, JobStanding::Completed);
    assert_eq!(batch.applied_ends, [(task_identity(TASK), 3)]);
}

/// An owner with a job that waits, and with a worker that shows a run of a job that was left
/// out.
fn fixture_with_unknown_load(enforces_capacity: bool) -> OwnerFixture {
    let mut fixture = fixture_without_job();
    let mut config = config(2);
    let policy = ServicePolicy {
        name: "sizing".into(),
        enforces_capacity,
    };
    config.services.insert(policy.name.clone(), policy);
    fixture.owner.configure(Arc::new(config));
    fixture.accept(OTHER, job_spec(vec![step(1, 500)]));
    fixture.answer("w-1", &[running(TASK, 3)], &[]);
    fixture.step();
    fixture
}

/// Guards against a worker that is given more than it has room for.
#[test]
fn worker_with_a_run_of_unknown_size_gets_no_task_until_that_has_ended() {
    let mut fixture = fixture_with_unknown_load(false);
    assert!(fixture.batch().is_none(), "nothing is assigned");
    fixture.wait(1_000);
    fixture.answer("w-1", &[], &[]);
    fixture.step();
    assert_eq!(fixture.store(), [START_OF_OTHER]);
}

/// Guards against a worker that is given more than it has room for: what is being stopped counts.
#[test]
fn worker_that_still_runs_a_cancelled_job_which_was_left_out_gets_no_task() {
    let mut fixture = fixture_with_unknown_load(false);
    fixture.owner.cancel_left_out(&identity(LEFT_OUT));
    fixture.wait(1_000);
    fixture.answer("w-1", &[running(TASK, 3)], &[]);
    fixture.step();
    assert!(fixture.batch().is_none(), "nothing is assigned");
}

/// Guards against workers that stand idle.
#[test]
fn worker_that_enforces_its_capacity_gets_tasks_beside_a_run_of_unknown_size() {
    let mut fixture = fixture_with_unknown_load(true);
    assert_eq!(fixture.store(), [START_OF_OTHER]);
}

/// Guards against a task that starts again while its run may hold a lease.
#[test]
fn leases_of_workers_that_may_have_runs_of_a_job_that_was_left_out_stay_bounded() {
    let inherited = LeaseBounds::of_all(INHERITED_MS);
    let workers = vec![worker("w-1", 1_000)];
    let mut fixture = OwnerFixture::claimed_at(1_000, inherited, workers);
    fixture.owner.leave_out(identity(LEFT_OUT));
    let now = fixture.time();
    let batch = fixture.owner.take_batch(true, now).unwrap();
    let left_ms = batch.lease_bounds.left_ms(&worker_name("w-1"));
    assert_eq!(left_ms, INHERITED_MS);
}
