//! What is stored, and what waits for it.

use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::JobStanding;
use sapphirestile_jobs::RepeatRule;
use sapphirestile_jobs::StartOutcome;

use crate::owner_scene::OwnerScene;
use crate::scene_parts::ended;
use crate::scene_parts::order;
use crate::scene_parts::step;
use crate::scene_parts::worker;

const JOB: &str = "aaaaaaaaaaaaaaaa";
const TASK: &str = "aaaaaaaaaaaaaaaa.0.0.0";

#[test]
fn a_step_starts_once_the_steps_before_it_are_done() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 9_000)]);
    let mut second = step(1, 1_000);
    second.after = vec![0];
    scene.accept(JOB, order(vec![step(1, 1_000), second]));
    scene.step();
    assert_eq!(scene.store(), [format!("start {TASK}#1 at w-1")]);
    scene.started("w-1", TASK, 1, StartOutcome::Accepted);
    scene.answer("w-1", &[], &[ended(1, TASK, 1, EndKind::Done)]);
    scene.step();
    assert_eq!(scene.store(), [format!("start {JOB}.0.1.0#1 at w-1")]);
}

#[test]
fn a_worker_forgets_an_end_only_after_it_was_stored() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 9_000)]);
    scene.accept(JOB, order(vec![step(1, 1_000)]));
    scene.step();
    scene.store();
    scene.started("w-1", TASK, 1, StartOutcome::Accepted);
    let before = scene.look_of("w-1");
    scene.answer("w-1", &[], &[ended(1, TASK, 1, EndKind::Done)]);
    scene.step();
    assert_eq!(scene.look_of("w-1"), before, "no look before the batch");
    scene.store();
    assert_eq!(scene.look_of("w-1"), before + 1);
}

#[test]
fn an_end_that_is_told_again_counts_once() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 9_000)]);
    scene.accept(JOB, order(vec![step(1, 1_000)]));
    scene.step();
    scene.store();
    scene.started("w-1", TASK, 1, StartOutcome::Accepted);
    scene.answer("w-1", &[], &[ended(1, TASK, 1, EndKind::Failed)]);
    scene.step();
    scene.store();
    scene.answer("w-1", &[], &[ended(1, TASK, 1, EndKind::Failed)]);
    scene.step();
    assert!(scene.batch().is_none());
}

#[test]
fn waiting_jobs_are_counted_by_queue() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 1_000)]);
    scene.accept(JOB, order(vec![step(1, 1_000)]));
    scene.accept("bbbbbbbbbbbbbbbb", order(vec![step(1, 1_000)]));
    scene.step();
    let batch = scene.batch().unwrap();
    assert_eq!(batch.counts.len(), 1);
    assert_eq!(
        (&*batch.counts[0].queue, batch.counts[0].waiting),
        ("charts", 1)
    );
}

#[test]
fn occurrences_begin_when_they_are_due_and_never_before() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 9_000)]);
    let mut repeated = order(vec![step(1, 1_000)]);
    repeated.repeat = Some(RepeatRule {
        first_unix_ms: 2_000,
        interval_ms: 500,
        occurrences: 2,
    });
    scene.accept(JOB, repeated);
    scene.answer("w-1", &[], &[]);
    assert!(scene.wait(999).is_empty());
    assert!(scene.batch().is_none());
    scene.answer("w-1", &[], &[]);
    scene.wait(1);
    assert_eq!(scene.store(), [format!("start {JOB}.0.0.0#1 at w-1")]);
    scene.answer("w-1", &[], &[]);
    scene.wait(500);
    assert_eq!(scene.store(), [format!("start {JOB}.1.0.0#1 at w-1")]);
}

#[test]
fn a_job_that_is_over_is_forgotten_after_its_time() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 9_000)]);
    scene.accept(JOB, order(vec![step(1, 1_000)]));
    scene.cancel(JOB);
    let batch = scene.batch().unwrap();
    assert_eq!(batch.records[0].1.standing, JobStanding::Cancelled);
    let now = scene.time();
    scene.owner.batch_stored(now, scene.now);
    scene.wait(60_001);
    let batch = scene.batch().unwrap();
    assert_eq!(batch.forgotten.len(), 1);
}
