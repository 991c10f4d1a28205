//! Workers that fail, and how soon they are given tasks again.

use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StepOrder;

use crate::owner_scene::OwnerScene;
use crate::scene_parts::order;
use crate::scene_parts::step;
use crate::scene_parts::worker;

const JOB: &str = "aaaaaaaaaaaaaaaa";
const LASTING: &str = "bbbbbbbbbbbbbbbb";
const TASKS: u32 = 12;

/// How long a sound worker with room may stand without a task that lasts, in
/// milliseconds.
const SET_ASIDE_MAX_MS: u64 = 4_500;

fn accept_lasting(scene: &mut OwnerScene) {
    let lasting = StepOrder {
        is_lasting: true,
        ..step(1, 1_000)
    };
    scene.accept(LASTING, order(vec![lasting]));
}

/// How long the only worker, which answers every look, is left without the task.
fn wait_for_start(scene: &mut OwnerScene) -> u64 {
    let began = scene.now;
    while scene.now < began + 30_000 {
        scene.wait(100);
        scene.answer("w-1", &[], &[]);
        scene.step();
        let has_batch = scene.batch().is_some();
        let now = scene.time();
        if has_batch {
            scene.owner.batch_stored(now, scene.now);
        }
        let lines = scene.step();
        if lines
            .iter()
            .any(|line| line.starts_with(&format!("start {LASTING}")))
        {
            return scene.now - began;
        }
    }
    panic!("the task was never started");
}

#[test]
fn many_starts_without_an_answer_set_a_worker_aside_once() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 64_000)]);
    scene.accept(JOB, order(vec![step(TASKS, 100)]));
    scene.step();
    scene.store();
    for index in 0..TASKS {
        let task = format!("{JOB}.0.0.{index}");
        scene.started("w-1", &task, 1, StartOutcome::Unknown);
    }
    scene.cancel(JOB);
    accept_lasting(&mut scene);
    let waited_ms = wait_for_start(&mut scene);
    assert!(waited_ms <= 2_500, "{waited_ms} ms");
}

#[test]
fn a_worker_that_failed_often_is_tried_again_soon() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 64_000)]);
    for round in 0..4_u32 {
        let job = format!("{:016x}", 0xc0 + round);
        scene.accept(&job, order(vec![step(3, 100)]));
        for _ in 0..200 {
            scene.wait(100);
            scene.answer("w-1", &[], &[]);
            scene.step();
            if scene.batch().is_some() {
                let now = scene.time();
                scene.owner.batch_stored(now, scene.now);
                let lines = scene.step();
                if lines.iter().any(|line| line.starts_with("start")) {
                    break;
                }
            }
        }
        for index in 0..3 {
            let task = format!("{job}.0.0.{index}");
            scene.started("w-1", &task, 1, StartOutcome::Unknown);
        }
        scene.cancel(&job);
    }
    accept_lasting(&mut scene);
    let waited_ms = wait_for_start(&mut scene);
    assert!(waited_ms <= SET_ASIDE_MAX_MS, "{waited_ms} ms");
}
