//! Copies of late runs, and tasks that work only together.

use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::StartOutcome;

use crate::owner_scene::OwnerScene;
use crate::scene_parts::ended;
use crate::scene_parts::order;
use crate::scene_parts::running;
use crate::scene_parts::step;
use crate::scene_parts::worker;

const FIRST: &str = "aaaaaaaaaaaaaaaa";
const JOB: &str = "bbbbbbbbbbbbbbbb";

/// A scene in which tasks of the queue take 300 ms.
fn scene_that_knows_durations() -> OwnerScene {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 2_000), worker("w-2", 2_000)]);
    scene.accept(FIRST, order(vec![step(1, 1_000)]));
    scene.step();
    scene.store();
    let task = format!("{FIRST}.0.0.0");
    let place =
        if scene.look_of("w-1") > 0 && scene.owner.workers().next().unwrap().1.runs.is_empty() {
            "w-2"
        } else {
            "w-1"
        };
    scene.started(place, &task, 1, StartOutcome::Accepted);
    scene.now += 300;
    scene.answer(place, &[], &[ended(1, &task, 1, EndKind::Done)]);
    scene.step();
    scene.store();
    scene
}

#[test]
fn a_late_run_is_copied_and_the_first_that_is_done_counts() {
    let mut scene = scene_that_knows_durations();
    let mut copied = step(1, 2_000);
    copied.allows_copies = true;
    scene.accept(JOB, order(vec![copied]));
    scene.step();
    let start = scene.store();
    let task = format!("{JOB}.0.0.0");
    let first = start[0].rsplit(' ').next().unwrap().to_owned();
    let second = if first == "w-1" { "w-2" } else { "w-1" };
    scene.started(&first, &task, 1, StartOutcome::Accepted);
    scene.now += 900;
    scene.answer(&first, &[running(&task, 1)], &[]);
    scene.answer(second, &[], &[]);
    scene.wait(0);
    assert_eq!(scene.store(), [format!("start {task}#2 at {second}")]);
    scene.started(second, &task, 2, StartOutcome::Accepted);
    scene.answer(&first, &[], &[ended(2, &task, 1, EndKind::Done)]);
    assert_eq!(scene.step(), [format!("stop {task}#2 at {second}")]);
    assert!(scene.batch().unwrap().records[0].1.standing.is_final());
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 2_000), worker("w-2", 1_000)]);
    let mut gang = step(4, 1_000);
    gang.is_gang = true;
    scene.accept(JOB, order(vec![gang.clone()]));
    scene.step();
    assert!(scene.batch().is_none(), "three of four have room");
    gang.tasks = 3;
    scene.accept(FIRST, order(vec![gang]));
    scene.step();
    let mut starts = scene.store();
    starts.sort();
    assert_eq!(starts.len(), 3);
    assert!(
        starts.iter().all(|line| line.contains("#1 at ")),
        "{starts:?}"
    );
}

#[test]
fn one_done_end_ends_a_gang_and_a_failed_one_stops_it() {
    let gang = |scene: &mut OwnerScene, job: &str| {
        let mut gang = step(2, 1_000);
        gang.is_gang = true;
        scene.accept(job, order(vec![gang]));
        scene.step();
        assert_eq!(scene.store().len(), 2);
        for index in 0..2 {
            let task = format!("{job}.0.0.{index}");
            scene.started("w-1", &task, 1, StartOutcome::Accepted);
        }
    };
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 2_000)]);
    gang(&mut scene, JOB);
    let [one, other] = [0, 1].map(|index| format!("{JOB}.0.0.{index}"));
    scene.answer(
        "w-1",
        &[running(&other, 1)],
        &[ended(1, &one, 1, EndKind::Failed)],
    );
    assert_eq!(scene.step(), [format!("stop {other}#1 at w-1")]);

    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 2_000)]);
    gang(&mut scene, JOB);
    scene.answer(
        "w-1",
        &[running(&other, 1)],
        &[ended(1, &one, 1, EndKind::Done)],
    );
    scene.step();
    assert!(scene.batch().unwrap().records[0].1.standing.is_final());
}
