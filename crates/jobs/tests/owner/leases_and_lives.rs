//! Workers that fall silent, begin anew, or were another owner's.

use sapphirestile_jobs::Assignment;
use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobRecord;
use sapphirestile_jobs::JobStanding;
use sapphirestile_jobs::LookOutcome;
use sapphirestile_jobs::OccurrenceRecord;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StoredJob;
use sapphirestile_jobs::TaskPhase;

use crate::owner_scene::AUTHORITY_MS;
use crate::owner_scene::LEASE_MS;
use crate::owner_scene::OwnerScene;
use crate::scene_parts::ended;
use crate::scene_parts::name;
use crate::scene_parts::order;
use crate::scene_parts::running;
use crate::scene_parts::step;
use crate::scene_parts::worker;

const JOB: &str = "aaaaaaaaaaaaaaaa";
const TASK: &str = "aaaaaaaaaaaaaaaa.0.0.0";

fn scene_with_run() -> OwnerScene {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 2_000), worker("w-2", 1_000)]);
    scene.accept(JOB, order(vec![step(1, 2_000)]));
    scene.step();
    assert_eq!(scene.store(), [format!("start {TASK}#1 at w-1")]);
    scene.started("w-1", TASK, 1, StartOutcome::Accepted);
    scene
}

#[test]
fn looks_at_a_silent_worker_do_not_extend_its_lease() {
    let mut scene = scene_with_run();
    scene
        .owner
        .replace_list(vec![worker("w-3", 2_000)], scene.time());
    scene.step();
    scene.answer("w-3", &[], &[]);
    let mut restarted_after = None;
    let mut answered = 0;
    for _ in 0..80 {
        scene.wait(100);
        if scene.look_of("w-1") > answered {
            answered = scene.look_of("w-1");
            scene.look_comes_back("w-1", LookOutcome::Silent);
        }
        scene.answer("w-3", &[], &[]);
        scene.step();
        if scene.batch().is_some() {
            restarted_after = Some(scene.now - 1_000);
            break;
        }
    }
    let after = restarted_after.expect("the lease ends");
    assert!(after >= LEASE_MS, "given up after {after} ms");
}

#[test]
fn leases_go_on_while_ends_cannot_be_stored() {
    let mut scene = scene_with_run();
    scene.accept("bbbbbbbbbbbbbbbb", order(vec![step(1, 500)]));
    scene.step();
    scene.store();
    scene.started("w-2", "bbbbbbbbbbbbbbbb.0.0.0", 1, StartOutcome::Accepted);
    let end = [ended(1, "bbbbbbbbbbbbbbbb.0.0.0", 1, EndKind::Done)];
    scene.answer("w-2", &[], &end);
    scene.step();
    scene.batch().unwrap();
    let before = scene.look_of("w-2");
    scene.wait(1_100);
    assert_eq!(scene.look_of("w-2"), before, "the batch may still come");
    scene.wait(200);
    assert_eq!(scene.look_of("w-2"), before + 1, "the store is away");
    scene.answer("w-2", &[], &end);
    let now = scene.time();
    scene.owner.batch_stored(now, scene.now);
    scene.step();
    assert_eq!(scene.look_of("w-2"), before + 2);
}

#[test]
fn a_silent_worker_gets_no_starts() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 2_000)]);
    scene.step();
    scene.look_comes_back("w-1", LookOutcome::Silent);
    scene.accept(JOB, order(vec![step(1, 1_000)]));
    scene.step();
    assert!(scene.batch().is_none());
}

#[test]
fn a_worker_that_began_anew_keeps_what_its_new_life_runs() {
    let mut scene = scene_with_run();
    scene.step();
    scene.answer_in_life("w-1", 2, &[running(TASK, 1)], &[]);
    scene.step();
    assert!(scene.batch().is_none(), "the run goes on");
    scene.answer_in_life("w-1", 2, &[], &[]);
    scene.step();
    assert_eq!(scene.store(), [format!("start {TASK}#2 at w-1")]);
}

fn stored(standing: JobStanding) -> StoredJob {
    let order = order(vec![step(1, 1_000)]);
    let mut occurrence = OccurrenceRecord::new(0, &order);
    occurrence.steps[0].tasks[0].run = 4;
    occurrence.steps[0].tasks[0].phase = TaskPhase::Assigned(Assignment {
        worker: name("w-1"),
        life_unix_ms: 1,
    });
    let record = JobRecord {
        standing,
        begun: 1,
        occurrences: vec![occurrence],
    };
    StoredJob {
        identity: JobIdentity::try_from(JOB).unwrap(),
        order,
        record: Some(record),
        is_cancelled: false,
    }
}

#[test]
fn a_new_owner_takes_over_what_runs() {
    let mut scene = OwnerScene::claimed(vec![worker("w-1", 2_000)]);
    scene
        .owner
        .adopt_job(stored(JobStanding::Running), scene.time(), scene.now);
    scene.answer("w-1", &[running(TASK, 4)], &[]);
    assert!(scene.step().is_empty());
    assert!(scene.batch().is_none());
}

#[test]
fn a_new_owner_takes_the_end_of_a_run_that_was_not_the_latest() {
    let mut scene = OwnerScene::claimed(vec![worker("w-1", 2_000), worker("w-2", 2_000)]);
    scene
        .owner
        .adopt_job(stored(JobStanding::Running), scene.time(), scene.now);
    scene.answer("w-1", &[running(TASK, 4)], &[]);
    scene.answer("w-2", &[], &[ended(1, TASK, 3, EndKind::Done)]);
    assert_eq!(scene.step(), [format!("stop {TASK}#4 at w-1")]);
    let batch = scene.batch().unwrap();
    assert_eq!(batch.records[0].1.standing, JobStanding::Completed);
}

#[test]
fn a_new_owner_starts_what_a_look_does_not_show() {
    let mut scene = OwnerScene::claimed(vec![worker("w-1", 2_000)]);
    scene
        .owner
        .adopt_job(stored(JobStanding::Running), scene.time(), scene.now);
    scene.answer("w-1", &[], &[]);
    scene.step();
    assert_eq!(scene.store(), [format!("start {TASK}#5 at w-1")]);
}

#[test]
fn a_new_owner_waits_for_a_worker_that_it_never_reaches() {
    let mut scene = OwnerScene::claimed(vec![worker("w-2", 2_000)]);
    scene
        .owner
        .adopt_job(stored(JobStanding::Running), scene.time(), scene.now);
    scene.answer("w-2", &[], &[]);
    for _ in 0..(AUTHORITY_MS / 500) {
        scene.wait(500);
        scene.answer("w-2", &[], &[]);
        assert!(scene.batch().is_none(), "started at {}", scene.now);
    }
    scene.wait(500);
    scene.answer("w-2", &[], &[]);
    scene.step();
    assert_eq!(scene.store(), [format!("start {TASK}#5 at w-2")]);
}

#[test]
fn a_new_owner_stops_what_a_cancelled_job_still_runs() {
    let mut scene = OwnerScene::claimed(vec![worker("w-1", 2_000)]);
    scene
        .owner
        .adopt_job(stored(JobStanding::Cancelled), scene.time(), scene.now);
    scene.answer("w-1", &[running(TASK, 4)], &[]);
    assert_eq!(scene.step(), [format!("stop {TASK}#4 at w-1")]);
}

#[test]
fn an_owner_gives_no_lease_beyond_its_authority() {
    let mut scene = scene_with_run();
    scene.now += AUTHORITY_MS;
    scene.accept("bbbbbbbbbbbbbbbb", order(vec![step(1, 500)]));
    scene.answer("w-2", &[], &[]);
    scene.step();
    scene.owner.take_batch(true, scene.time());
    // The batch was sent now, so its answer renews the authority; before, no start.
    assert!(scene.step().is_empty());
}
