//! Handover of learnt estimates to the next owner.

use sapphirestile_jobs::CommitBatch;
use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::JobPlace;
use sapphirestile_jobs::LearntCoefficient;
use sapphirestile_jobs::LearntTables;
use sapphirestile_jobs::RunningRun;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StepSpec;
use sapphirestile_jobs::StoredJob;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::ended;
use crate::test_values::job_spec;
use crate::test_values::running;
use crate::test_values::step;
use crate::test_values::worker;
use crate::test_values::worker_name;

const DESK: &str = "aaaaaaaaaaaaaaaa";
const DESK_TASK: &str = "aaaaaaaaaaaaaaaa.0.0.0";
const RESIZE: &str = "bbbbbbbbbbbbbbbb";
const RESIZE_TASK: &str = "bbbbbbbbbbbbbbbb.0.0.0";
const OTHER_JOB: &str = "cccccccccccccccc";
const OTHER_TASK: &str = "cccccccccccccccc.0.0.0";

/// Duration of the task of the third job, in milliseconds.
const RAN_MS: u64 = 300;

/// Number of responses with a latency far above its target.
const ROUNDS: u64 = 30;

fn desk() -> StepSpec {
    StepSpec {
        is_long_running: true,
        latency_target_ms: Some(150),
        image: Some("desk".into()),
        ..step(1, 8_000)
    }
}

fn resize() -> StepSpec {
    StepSpec {
        is_best_effort: true,
        image: Some("resize".into()),
        ..step(1, 8_000)
    }
}

fn running_with(task: &str, measurement: u64) -> RunningRun {
    RunningRun {
        measurement,
        ..running(task, 1)
    }
}

/// Latest batch of an owner that has measured the interference between two images.
fn batch_with_learnt_tables() -> CommitBatch {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 32_000)]);
    fixture.accept(DESK, job_spec(vec![desk()]));
    fixture.step();
    fixture.store();
    fixture.started("w-1", DESK_TASK, 1, StartOutcome::Accepted);
    fixture.answer("w-1", &[running_with(DESK_TASK, 25)], &[]);
    fixture.accept(OTHER_JOB, job_spec(vec![step(1, 100)]));
    fixture.step();
    fixture.store();
    fixture.started("w-1", OTHER_TASK, 1, StartOutcome::Accepted);
    fixture.wait(RAN_MS);
    let done = [ended(1, OTHER_TASK, 1, EndKind::Done)];
    fixture.answer("w-1", &[running_with(DESK_TASK, 25)], &done);
    fixture.accept(RESIZE, job_spec(vec![resize()]));
    fixture.step();
    fixture.store();
    fixture.started("w-1", RESIZE_TASK, 1, StartOutcome::Accepted);
    for _ in 0..ROUNDS {
        fixture.wait(700);
        fixture.answer(
            "w-1",
            &[
                running_with(DESK_TASK, 400),
                running_with(RESIZE_TASK, 8_000),
            ],
            &[],
        );
    }
    let now = fixture.time();
    fixture.owner.take_batch(true, now).unwrap()
}

/// Whether a new owner, with or without learnt estimates, places a best-effort task beside a
/// latency-sensitive task with a low latency.
fn starts_beside_serving_task(learnt: Option<&LearntTables>) -> bool {
    let mut first = OwnerFixture::with_workers(vec![worker("w-1", 32_000)]);
    first.accept(DESK, job_spec(vec![desk()]));
    first.step();
    let progress = first.batch().unwrap().progress[0].1.clone();
    let mut fixture = OwnerFixture::claimed(vec![worker("w-1", 32_000)]);
    if let Some(learnt) = learnt {
        fixture.owner.restore_learnt(learnt);
    }
    let stored = StoredJob {
        identity: DESK.try_into().unwrap(),
        spec: job_spec(vec![desk()]),
        progress: Some(progress),
        place: JobPlace::Home,
        is_cancelled: false,
    };
    fixture
        .owner
        .restore_job(stored, fixture.time(), fixture.now);
    fixture.answer("w-1", &[running_with(DESK_TASK, 25)], &[]);
    fixture.accept(OTHER_JOB, job_spec(vec![resize()]));
    fixture.step();
    fixture.batch().is_some_and(|batch| {
        let other = batch
            .progress
            .iter()
            .find(|(job, _)| job.as_str() == OTHER_JOB);
        let task = other.and_then(|(_, progress)| progress.occurrences[0].steps[0].tasks.first());
        task.is_some_and(|task| task.is_assigned_to(&worker_name("w-1")))
    })
}

#[test]
fn new_owner_uses_restored_interference() {
    let learnt = LearntTables {
        coefficients: vec![coefficient(0.08, 1)],
        lowest_ms: vec![("desk".into(), 25)],
        ..LearntTables::default()
    };
    assert!(starts_beside_serving_task(None), "no interference is known");
    assert!(!starts_beside_serving_task(Some(&learnt)));
}

fn coefficient(load: f64, measurements: u32) -> LearntCoefficient {
    LearntCoefficient {
        best_effort: "resize".into(),
        serving: "desk".into(),
        load,
        measurements,
    }
}

/// Each cell sees a part of the runs of an image, but its interference is the same in all.
#[test]
fn owner_combines_interference_with_that_of_other_cells_by_measurements() {
    let tables = |load, measurements| LearntTables {
        coefficients: vec![coefficient(load, measurements)],
        lowest_ms: vec![("desk".into(), 20)],
        ..LearntTables::default()
    };
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 32_000)]);
    fixture.owner.restore_learnt(&LearntTables {
        lowest_ms: vec![("desk".into(), 30)],
        ..tables(0.02, 100)
    });
    fixture
        .owner
        .merge_learnt(&[tables(0.06, 50), tables(0.10, 50)]);
    fixture.wait(3_000);
    let now = fixture.time();
    let batch = fixture.owner.take_batch(true, now).unwrap();
    let learnt = batch.learnt.expect("learnt tables are due");
    let [pair] = &*learnt.coefficients else {
        panic!("expected one pair of images, got {learnt:?}");
    };
    assert!((pair.load - 0.05).abs() < 1e-9, "{pair:?}");
    assert_eq!(pair.measurements, 100, "those of others are not its own");
    assert_eq!(learnt.lowest_ms, [("desk".into(), 20)]);
}

#[test]
fn learnt_tables_survive_a_round_trip() {
    let learnt = batch_with_learnt_tables()
        .learnt
        .expect("learnt tables are due");
    assert_eq!(learnt.lowest_ms, [("desk".into(), 25)]);
    assert_eq!(learnt.durations_ms, [("charts".into(), 300.0)]);
    let [learnt_pair] = &*learnt.coefficients else {
        panic!("expected one pair of images, got {learnt:?}");
    };
    let pair = (&*learnt_pair.best_effort, &*learnt_pair.serving);
    assert_eq!(pair, ("resize", "desk"));
    assert!(learnt_pair.load > 0.0 && learnt_pair.measurements > 0);
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 32_000)]);
    fixture.owner.restore_learnt(&learnt);
    fixture.wait(3_000);
    let now = fixture.time();
    let batch = fixture.owner.take_batch(true, now).unwrap();
    assert_eq!(batch.learnt, Some(learnt));
}

#[test]
fn learnt_tables_are_stored_at_an_interval() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 32_000)]);
    let mut times = Vec::new();
    for _ in 0..80 {
        fixture.wait(100);
        let now = fixture.time();
        let batch = fixture.owner.take_batch(true, now).unwrap();
        if batch.learnt.is_some() {
            times.push(fixture.now);
        }
        fixture.owner.confirm_batch(now, fixture.now);
    }
    assert_eq!(times, [4_000, 7_000]);
}
