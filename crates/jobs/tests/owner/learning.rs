//! What an owner has learnt outlives it.

use sapphirestile_jobs::CommitBatch;
use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::LearntTables;
use sapphirestile_jobs::RunningRun;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StepOrder;
use sapphirestile_jobs::StoredJob;

use crate::owner_scene::OwnerScene;
use crate::scene_parts::ended;
use crate::scene_parts::name;
use crate::scene_parts::order;
use crate::scene_parts::running;
use crate::scene_parts::step;
use crate::scene_parts::worker;

const DESK: &str = "aaaaaaaaaaaaaaaa";
const DESK_TASK: &str = "aaaaaaaaaaaaaaaa.0.0.0";
const RESIZE: &str = "bbbbbbbbbbbbbbbb";
const RESIZE_TASK: &str = "bbbbbbbbbbbbbbbb.0.0.0";
const OTHER: &str = "cccccccccccccccc";
const OTHER_TASK: &str = "cccccccccccccccc.0.0.0";

/// How long its task runs, in milliseconds.
const RAN_MS: u64 = 300;

/// How often a latency that is far too high is seen beside the other task.
const ROUNDS: u64 = 30;

fn desk() -> StepOrder {
    StepOrder {
        is_lasting: true,
        latency_target_ms: Some(150),
        image: Some("desk".into()),
        ..step(1, 8_000)
    }
}

fn resize() -> StepOrder {
    StepOrder {
        uses_leftover: true,
        image: Some("resize".into()),
        ..step(1, 8_000)
    }
}

fn seen(task: &str, figure: u64) -> RunningRun {
    RunningRun {
        figure,
        ..running(task, 1)
    }
}

/// An owner that has seen what one image does to the other, and its latest batch.
fn learnt_batch() -> CommitBatch {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 32_000)]);
    scene.accept(DESK, order(vec![desk()]));
    scene.step();
    scene.store();
    scene.started("w-1", DESK_TASK, 1, StartOutcome::Accepted);
    scene.answer("w-1", &[seen(DESK_TASK, 25)], &[]);
    scene.accept(OTHER, order(vec![step(1, 100)]));
    scene.step();
    scene.store();
    scene.started("w-1", OTHER_TASK, 1, StartOutcome::Accepted);
    scene.wait(RAN_MS);
    let done = [ended(1, OTHER_TASK, 1, EndKind::Done)];
    scene.answer("w-1", &[seen(DESK_TASK, 25)], &done);
    scene.accept(RESIZE, order(vec![resize()]));
    scene.step();
    scene.store();
    scene.started("w-1", RESIZE_TASK, 1, StartOutcome::Accepted);
    for _ in 0..ROUNDS {
        scene.wait(700);
        scene.answer(
            "w-1",
            &[seen(DESK_TASK, 400), seen(RESIZE_TASK, 8_000)],
            &[],
        );
    }
    let now = scene.time();
    scene.owner.take_batch(true, now).unwrap()
}

/// Whether a new owner, with or without what was learnt, puts a task of one image
/// beside a task of the other that is calm.
fn starts_beside(learnt: Option<&LearntTables>) -> bool {
    let mut first = OwnerScene::with_workers(vec![worker("w-1", 32_000)]);
    first.accept(DESK, order(vec![desk()]));
    first.step();
    let record = first.batch().unwrap().records[0].1.clone();
    let mut scene = OwnerScene::claimed(vec![worker("w-1", 32_000)]);
    if let Some(learnt) = learnt {
        scene.owner.recall(learnt);
    }
    let stored = StoredJob {
        identity: DESK.try_into().unwrap(),
        order: order(vec![desk()]),
        record: Some(record),
        is_cancelled: false,
    };
    scene.owner.adopt_job(stored, scene.time(), scene.now);
    scene.answer("w-1", &[seen(DESK_TASK, 25)], &[]);
    scene.accept(OTHER, order(vec![resize()]));
    scene.step();
    scene.batch().is_some_and(|batch| {
        let other = batch.records.iter().find(|(job, _)| job.as_str() == OTHER);
        let task = other.and_then(|(_, record)| record.occurrences[0].steps[0].tasks.first());
        task.is_some_and(|task| task.is_assigned_to(&name("w-1")))
    })
}

#[test]
fn a_new_owner_knows_which_images_disturb_which() {
    let learnt = LearntTables {
        parts: vec![("resize".into(), "desk".into(), 0.08)],
        lowest_ms: vec![("desk".into(), 25)],
        ..LearntTables::default()
    };
    assert!(starts_beside(None), "nothing is known against it");
    assert!(!starts_beside(Some(&learnt)));
}

#[test]
fn what_was_learnt_is_handed_on_as_it_was() {
    let learnt = learnt_batch().learnt.expect("it is due");
    assert_eq!(learnt.lowest_ms, [("desk".into(), 25)]);
    assert_eq!(learnt.durations_ms, [("charts".into(), 300.0)]);
    let [(filling, serving, part)] = &*learnt.parts else {
        panic!("one pair of images was seen: {learnt:?}");
    };
    assert_eq!((&**filling, &**serving), ("resize", "desk"));
    assert!(*part > 0.0);
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 32_000)]);
    scene.owner.recall(&learnt);
    scene.wait(3_000);
    let now = scene.time();
    let batch = scene.owner.take_batch(true, now).unwrap();
    assert_eq!(batch.learnt, Some(learnt));
}

#[test]
fn what_was_learnt_is_stored_every_few_seconds_only() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 32_000)]);
    let mut times = Vec::new();
    for _ in 0..80 {
        scene.wait(100);
        let now = scene.time();
        let batch = scene.owner.take_batch(true, now).unwrap();
        if batch.learnt.is_some() {
            times.push(scene.now);
        }
        scene.owner.batch_stored(now, scene.now);
    }
    assert_eq!(times, [4_000, 7_000]);
}
