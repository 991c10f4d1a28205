//! Which job comes first.

use sapphirestile_jobs::JobOrder;

use crate::owner_scene::OwnerScene;
use crate::scene_parts::order;
use crate::scene_parts::step;
use crate::scene_parts::worker;

const OLD: &str = "aaaaaaaaaaaaaaaa";
const NEW: &str = "bbbbbbbbbbbbbbbb";

fn in_queue(queue: &str, order: JobOrder) -> JobOrder {
    JobOrder {
        queue: queue.into(),
        ..order
    }
}

/// The job that a worker with room for one task is given.
fn first_of(scene: &mut OwnerScene) -> String {
    scene.step();
    let lines = scene.store();
    assert_eq!(lines.len(), 1, "{lines:?}");
    lines[0]["start ".len()..][..16].to_owned()
}

#[test]
fn the_more_urgent_queue_comes_first() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 1_000)]);
    scene.accept(OLD, in_queue("charts", order(vec![step(1, 1_000)])));
    scene.accept(NEW, in_queue("urgent", order(vec![step(1, 1_000)])));
    assert_eq!(first_of(&mut scene), NEW);
}

#[test]
fn the_older_comes_first_while_both_can_end_in_time() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 1_000)]);
    scene.accept(OLD, order(vec![step(1, 1_000)]));
    scene.now += 500;
    scene.accept(NEW, order(vec![step(1, 1_000)]));
    assert_eq!(first_of(&mut scene), OLD);
}

#[test]
fn a_job_that_will_be_late_lets_one_pass_that_will_not() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 1_000)]);
    scene.accept(OLD, order(vec![step(1, 1_000)]));
    // Two times a second of work and a second more: after 2,001 ms it ends late.
    scene.now += 2_001;
    scene.answer("w-1", &[], &[]);
    scene.accept(NEW, order(vec![step(1, 1_000)]));
    assert_eq!(first_of(&mut scene), NEW);
}
