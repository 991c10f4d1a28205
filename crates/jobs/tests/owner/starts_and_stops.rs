//! Start and stop requests and their outcomes.

use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StopOutcome;
use test_case::test_case;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::STOP_ACCEPTED;
use crate::test_values::ended;
use crate::test_values::job_spec;
use crate::test_values::running;
use crate::test_values::step;
use crate::test_values::worker;

const JOB: &str = "aaaaaaaaaaaaaaaa";
const TASK: &str = "aaaaaaaaaaaaaaaa.0.0.0";

fn fixture_with_start() -> OwnerFixture {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    assert_eq!(
        fixture.step(),
        Vec::<String>::new(),
        "nothing starts before the batch is stored"
    );
    assert_eq!(fixture.store(), [format!("start {TASK}#1 at w-1")]);
    fixture
}

#[test]
fn unanswered_start_is_stopped_before_a_restart() {
    let mut fixture = fixture_with_start();
    fixture.started("w-1", TASK, 1, StartOutcome::Unknown);
    assert_eq!(fixture.step(), [format!("stop {TASK}#1 at w-1")]);
    // A response to a poll that was sent before the stop was accepted proves nothing.
    fixture.stopped("w-1", TASK, 1, STOP_ACCEPTED);
    fixture.answer("w-1", &[], &[]);
    assert!(fixture.step().is_empty());
    assert!(fixture.batch().is_none());
    fixture.answer("w-1", &[], &[]);
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {TASK}#2 at w-1")]);
}

#[test]
fn unanswered_start_that_completed_is_done() {
    let mut fixture = fixture_with_start();
    fixture.started("w-1", TASK, 1, StartOutcome::Unknown);
    fixture.step();
    fixture.answer("w-1", &[], &[ended(1, TASK, 1, EndKind::Done)]);
    fixture.step();
    let batch = fixture.batch().unwrap();
    assert!(batch.progress[0].1.standing.is_final());
}

#[test_case(StartOutcome::NoRoom)]
#[test_case(StartOutcome::Unhealthy)]
#[test_case(StartOutcome::TooLate)]
#[test_case(StartOutcome::Refused)]
#[test_case(StartOutcome::Unsent)]
fn rejected_start_is_retried_under_a_new_run_number(outcome: StartOutcome) {
    let mut fixture = fixture_with_start();
    fixture.started("w-1", TASK, 1, outcome);
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {TASK}#2 at w-1")]);
}

#[test]
fn fenced_request_deposes_the_owner() {
    let mut fixture = fixture_with_start();
    fixture.started("w-1", TASK, 1, StartOutcome::Fenced);
    assert!(fixture.owner.is_deposed());
}

#[test]
fn stop_of_a_cancelled_job_is_retried_until_accepted() {
    let mut fixture = fixture_with_start();
    fixture.started("w-1", TASK, 1, StartOutcome::Accepted);
    fixture.cancel(JOB);
    let stop = [format!("stop {TASK}#1 at w-1")];
    assert_eq!(fixture.step(), stop);
    fixture.stopped("w-1", TASK, 1, StopOutcome::Unknown);
    assert!(fixture.wait(100).is_empty());
    assert_eq!(fixture.wait(400), stop);
}

#[test]
fn job_cancelled_before_its_start_was_stored_never_starts() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    fixture.cancel(JOB);
    assert!(fixture.store().is_empty());
}

#[test]
fn unassigned_run_is_stopped() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    fixture.step();
    fixture.answer("w-1", &[running(TASK, 3)], &[]);
    assert_eq!(fixture.step(), [format!("stop {TASK}#3 at w-1")]);
}

#[test]
fn job_fails_when_a_task_has_used_up_its_attempts() {
    let mut fixture = fixture_with_start();
    fixture.started("w-1", TASK, 1, StartOutcome::Accepted);
    fixture.answer("w-1", &[], &[ended(1, TASK, 1, EndKind::Failed)]);
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {TASK}#2 at w-1")]);
    fixture.started("w-1", TASK, 2, StartOutcome::Accepted);
    fixture.answer("w-1", &[], &[ended(2, TASK, 2, EndKind::Failed)]);
    fixture.step();
    let batch = fixture.batch().unwrap();
    let standing = format!("{:?}", batch.progress[0].1.standing);
    assert_eq!(standing, "Failed");
}
