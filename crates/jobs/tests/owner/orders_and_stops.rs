//! Starts, their answers, and stops.

use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StopOutcome;
use test_case::test_case;

use crate::owner_scene::OwnerScene;
use crate::scene_parts::ended;
use crate::scene_parts::order;
use crate::scene_parts::running;
use crate::scene_parts::step;
use crate::scene_parts::worker;

const JOB: &str = "aaaaaaaaaaaaaaaa";
const TASK: &str = "aaaaaaaaaaaaaaaa.0.0.0";

fn scene_with_start() -> OwnerScene {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 1_000)]);
    scene.accept(JOB, order(vec![step(1, 1_000)]));
    assert_eq!(
        scene.step(),
        Vec::<String>::new(),
        "nothing starts unstored"
    );
    assert_eq!(scene.store(), [format!("start {TASK}#1 at w-1")]);
    scene
}

#[test]
fn a_start_without_an_answer_is_stopped_before_the_task_starts_again() {
    let mut scene = scene_with_start();
    scene.started("w-1", TASK, 1, StartOutcome::Unknown);
    assert_eq!(scene.step(), [format!("stop {TASK}#1 at w-1")]);
    // A look that began before the worker said yes proves nothing.
    scene.stopped("w-1", TASK, 1, StopOutcome::Accepted);
    scene.answer("w-1", &[], &[]);
    assert!(scene.step().is_empty());
    assert!(scene.batch().is_none());
    scene.answer("w-1", &[], &[]);
    scene.step();
    assert_eq!(scene.store(), [format!("start {TASK}#2 at w-1")]);
}

#[test]
fn a_start_without_an_answer_that_was_done_is_done() {
    let mut scene = scene_with_start();
    scene.started("w-1", TASK, 1, StartOutcome::Unknown);
    scene.step();
    scene.answer("w-1", &[], &[ended(1, TASK, 1, EndKind::Done)]);
    scene.step();
    let batch = scene.batch().unwrap();
    assert!(batch.records[0].1.standing.is_final());
}

#[test_case(StartOutcome::NoRoom)]
#[test_case(StartOutcome::Unhealthy)]
#[test_case(StartOutcome::TooLate)]
#[test_case(StartOutcome::Refused)]
#[test_case(StartOutcome::Unsent)]
fn a_start_that_was_not_taken_is_tried_again_under_a_new_number(outcome: StartOutcome) {
    let mut scene = scene_with_start();
    scene.started("w-1", TASK, 1, outcome);
    scene.step();
    assert_eq!(scene.store(), [format!("start {TASK}#2 at w-1")]);
}

#[test]
fn a_fenced_order_ends_the_ownership() {
    let mut scene = scene_with_start();
    scene.started("w-1", TASK, 1, StartOutcome::Fenced);
    assert!(scene.owner.is_deposed());
}

#[test]
fn a_cancelled_job_is_stopped_until_the_worker_says_yes() {
    let mut scene = scene_with_start();
    scene.started("w-1", TASK, 1, StartOutcome::Accepted);
    scene.cancel(JOB);
    let stop = [format!("stop {TASK}#1 at w-1")];
    assert_eq!(scene.step(), stop);
    scene.stopped("w-1", TASK, 1, StopOutcome::Unknown);
    assert!(scene.wait(100).is_empty());
    assert_eq!(scene.wait(400), stop);
}

#[test]
fn a_job_cancelled_before_its_start_was_stored_never_starts() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 1_000)]);
    scene.accept(JOB, order(vec![step(1, 1_000)]));
    scene.step();
    scene.cancel(JOB);
    assert!(scene.store().is_empty());
}

#[test]
fn a_run_that_nobody_assigned_is_stopped() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 1_000)]);
    scene.step();
    scene.answer("w-1", &[running(TASK, 3)], &[]);
    assert_eq!(scene.step(), [format!("stop {TASK}#3 at w-1")]);
}

#[test]
fn a_task_fails_its_job_after_as_many_attempts_as_its_queue_allows() {
    let mut scene = scene_with_start();
    scene.started("w-1", TASK, 1, StartOutcome::Accepted);
    scene.answer("w-1", &[], &[ended(1, TASK, 1, EndKind::Failed)]);
    scene.step();
    assert_eq!(scene.store(), [format!("start {TASK}#2 at w-1")]);
    scene.started("w-1", TASK, 2, StartOutcome::Accepted);
    scene.answer("w-1", &[], &[ended(2, TASK, 2, EndKind::Failed)]);
    scene.step();
    let batch = scene.batch().unwrap();
    let standing = format!("{:?}", batch.records[0].1.standing);
    assert_eq!(standing, "Failed");
}
