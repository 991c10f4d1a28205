//! The bound on how long a job waits with nothing running.

use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobPlace;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::LearntCoefficient;
use sapphirestile_jobs::LearntTables;
use sapphirestile_jobs::LeaseBounds;
use sapphirestile_jobs::RepeatRule;
use sapphirestile_jobs::RunningRun;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StepSpec;
use sapphirestile_jobs::StoredJob;
use test_case::test_case;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::STOP_ACCEPTED;
use crate::test_values::ended;
use crate::test_values::job_spec;
use crate::test_values::running;
use crate::test_values::step;
use crate::test_values::worker;

const OLD: &str = "aaaaaaaaaaaaaaaa";
const NEW: &str = "bbbbbbbbbbbbbbbb";
const DESK: &str = "dddddddddddddddd";
/// Time by which a job has something running, in milliseconds: the bound of 5 s, and the run
/// that occupies the worker then.
const TURN_MS: u64 = 7_000;
/// Time that each short task takes, in milliseconds.
const RUN_MS: u64 = 1_000;
const TARGET_MS: u64 = 100;

fn accepted_at(unix_ms: u64, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        accepted_unix_ms: unix_ms,
        ..job_spec(steps)
    }
}

/// Stores what is planned, and returns the tasks that start.
fn started_tasks(fixture: &mut OwnerFixture) -> Vec<String> {
    let mut lines = fixture.step();
    if fixture.batch().is_some() {
        let now = fixture.time();
        fixture.owner.confirm_batch(now, fixture.now);
        lines.extend(fixture.step());
    }
    let tasks = lines.iter().filter_map(|line| {
        let run = line.strip_prefix("start ")?;
        Some(run.split_once('#')?.0.to_owned())
    });
    tasks.collect()
}

#[test]
fn job_too_late_to_be_of_use_gets_its_turn_while_newer_jobs_keep_arriving() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    let accepted = fixture.now;
    fixture.accept(
        "0000000000000000",
        accepted_at(accepted, vec![step(1, 1_000)]),
    );
    let mut occupied = started_tasks(&mut fixture).pop();
    fixture.accept(OLD, accepted_at(accepted, vec![step(1, 1_000)]));
    // Too late for its objective of 3 s before the worker is free.
    fixture.now += 3_000;
    let mut ends = Vec::new();
    for number in 1..60 {
        fixture.now += RUN_MS;
        if let Some(task) = occupied.take() {
            fixture.started("w-1", &task, 1, StartOutcome::Accepted);
            ends.push(ended(number, &task, 1, EndKind::Done));
        }
        fixture.accept(
            &format!("{number:016x}"),
            accepted_at(fixture.now, vec![step(1, 1_000)]),
        );
        fixture.answer("w-1", &[], &ends);
        occupied = started_tasks(&mut fixture).pop();
        if occupied.as_ref().is_some_and(|task| task.starts_with(OLD)) {
            break;
        }
        fixture.wait(0);
    }
    let waited_ms = fixture.now - accepted;
    assert!(waited_ms <= TURN_MS, "waited {waited_ms} ms");
}

#[test]
fn job_that_waited_under_an_earlier_owner_gets_its_turn_from_the_next() {
    let mut fixture =
        OwnerFixture::claimed_at(20_000, LeaseBounds::of_all(0), vec![worker("w-1", 1_000)]);
    fixture.store();
    fixture.answer("w-1", &[], &[]);
    let stored = StoredJob {
        identity: JobIdentity::try_from(OLD).unwrap(),
        spec: accepted_at(fixture.now - TURN_MS, vec![step(1, 1_000)]),
        progress: None,
        place: JobPlace::Home,
        is_cancelled: false,
    };
    let now = fixture.time();
    fixture.owner.restore_job(stored, now, fixture.now);
    fixture.accept(NEW, accepted_at(fixture.now, vec![step(1, 1_000)]));
    assert_eq!(started_tasks(&mut fixture), [format!("{OLD}.0.0.0")]);
}

/// A worker with a latency-sensitive run, which a task of the image `resize` is known to add
/// `load` to, and a best-effort job of that image.
fn beside_latency_sensitive_run(latency_ms: u64, load: f64) -> OwnerFixture {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 10_000)]);
    fixture.owner.restore_learnt(&LearntTables {
        coefficients: vec![LearntCoefficient {
            best_effort: "resize".into(),
            serving: "desk".into(),
            load,
            measurements: 10,
        }],
        lowest_ms: vec![("desk".into(), 20)],
        ..LearntTables::default()
    });
    let desk = StepSpec {
        is_long_running: true,
        latency_target_ms: Some(TARGET_MS),
        image: Some("desk".into()),
        ..step(1, 2_000)
    };
    fixture.accept(DESK, accepted_at(fixture.now, vec![desk]));
    assert_eq!(started_tasks(&mut fixture).len(), 1);
    fixture.started("w-1", &desk_task(), 1, StartOutcome::Accepted);
    fixture.wait(500);
    fixture.answer("w-1", &[desk_run(latency_ms)], &[]);
    let fill = StepSpec {
        is_best_effort: true,
        has_checkpoints: true,
        image: Some("resize".into()),
        ..step(1, 1_000)
    };
    fixture.accept(OLD, accepted_at(fixture.now, vec![fill]));
    fixture
}

fn desk_task() -> String {
    format!("{DESK}.0.0.0")
}

fn desk_run(latency_ms: u64) -> RunningRun {
    RunningRun {
        measurement: latency_ms,
        ..running(&desk_task(), 1)
    }
}

#[test_case(75, 0.0; "a latency near its target")]
#[test_case(40, 0.9; "expected interference")]
fn late_job_finds_a_worker_though_each_is_refused_for(latency_ms: u64, load: f64) {
    let mut fixture = beside_latency_sensitive_run(latency_ms, load);
    let accepted = fixture.now;
    while fixture.now < accepted + TURN_MS {
        fixture.wait(500);
        fixture.answer("w-1", &[desk_run(latency_ms)], &[]);
        if !started_tasks(&mut fixture).is_empty() {
            return;
        }
    }
    panic!("no start in {TURN_MS} ms");
}

#[test_case(40, 0; "that falls once it is paused")]
#[test_case(95, 1; "that stays high")]
fn overdue_run_is_paused_and_seldom_moved_beside_a_latency(calm_ms: u64, stops_min: usize) {
    let mut fixture = beside_latency_sensitive_run(40, 0.9);
    let task = format!("{OLD}.0.0.0");
    let (mut run, mut paces, mut stops) = (0, Vec::new(), 0);
    let mut fill: Option<RunningRun> = None;
    let mut ends = Vec::new();
    for _ in 0..400 {
        let mut latency_ms = calm_ms;
        let mut reported = Vec::new();
        if let Some(fill) = &fill {
            reported.push(fill.clone());
            if fill.pace_percent > 0 {
                latency_ms = 95;
            }
        }
        reported.push(desk_run(latency_ms));
        reported.sort_by_key(|running| running.task);
        fixture.answer("w-1", &reported, &ends);
        let mut lines = fixture.wait(100);
        if fixture.batch().is_some() {
            let now = fixture.time();
            fixture.owner.confirm_batch(now, fixture.now);
            lines.extend(fixture.step());
        }
        for line in &lines {
            if line.starts_with("start ") {
                run += 1;
                fixture.started("w-1", &task, run, StartOutcome::Accepted);
                fill = Some(RunningRun {
                    measurement: 1_000,
                    ..running(&task, run)
                });
            } else if let Some(pace) = line.strip_prefix(&format!("pace {task}#{run} ")) {
                let percent: u32 = pace.parse().unwrap();
                paces.push(percent);
                if let Some(fill) = &mut fill {
                    fill.pace_percent = percent;
                }
            } else if line.starts_with("stop ") {
                stops += 1;
                fixture.stopped("w-1", &task, run, STOP_ACCEPTED);
                ends.push(ended(u64::from(run), &task, run, EndKind::Stopped));
                fill = None;
            }
        }
    }
    assert!(run > 0, "never started");
    assert!(paces.contains(&0), "was not paused: {paces:?}");
    // In 40 s, with one restart in five seconds of pause at most.
    assert!((stops_min..=6).contains(&stops), "{stops} stops");
}

/// Lets the worker show its runs, and takes up those that start.
fn take_up(fixture: &mut OwnerFixture, runs: &mut Vec<String>) {
    fixture.wait(500);
    let shown: Vec<RunningRun> = runs.iter().map(|task| running(task, 1)).collect();
    fixture.answer("w-1", &shown, &[]);
    for task in started_tasks(fixture) {
        fixture.started("w-1", &task, 1, StartOutcome::Accepted);
        runs.push(task);
    }
    runs.sort();
}

/// A repeated job that fits no worker.
fn repeated_job(now: u64) -> JobSpec {
    JobSpec {
        repeat: Some(RepeatRule {
            first_unix_ms: now,
            interval_ms: 60_000,
            occurrences: 2,
        }),
        ..accepted_at(now, vec![step(1, 5_000)])
    }
}

#[test]
fn overdue_jobs_take_a_share_while_newer_ones_wait_and_all_get_a_turn_afterwards() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    let fill = StepSpec {
        is_best_effort: true,
        ..step(1, 1_000)
    };
    let mut runs = Vec::new();
    for job in 0..30 {
        fixture.accept(
            &format!("{job:016x}"),
            accepted_at(fixture.now, vec![fill.clone()]),
        );
        take_up(&mut fixture, &mut runs);
    }
    assert_eq!(runs.len(), 2, "{runs:?}");
    for job in 0..20 {
        fixture.accept(&format!("f{job:015x}"), repeated_job(fixture.now));
        take_up(&mut fixture, &mut runs);
    }
    assert_eq!(runs.len(), 30, "{runs:?}");
}
