//! Overdue tasks beside latency-sensitive runs.

use sapphirestile_jobs::DecisionEvent;
use sapphirestile_jobs::LearntCoefficient;
use sapphirestile_jobs::LearntTables;
use sapphirestile_jobs::RunningRun;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StepSpec;
use test_case::test_case;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::STOP_ACCEPTED;
use crate::test_values::accepted_at;
use crate::test_values::fill_step;
use crate::test_values::running;
use crate::test_values::step;
use crate::test_values::worker;

const OLD: &str = "aaaaaaaaaaaaaaaa";
const NEW: &str = "bbbbbbbbbbbbbbbb";
const DESK: &str = "dddddddddddddddd";
const TARGET_MS: u64 = 100;

/// A worker with a latency-sensitive run, which a task of the image `resize` is known to add
/// `load` to, and a best-effort job of that image.
fn beside_latency_sensitive_run(latency_ms: u64, load: f64) -> OwnerFixture {
    beside_run_of_image(20, latency_ms, load)
}

/// The same where the lowest latency seen for the image of that run is known.
fn beside_run_of_image(lowest_ms: u64, latency_ms: u64, load: f64) -> OwnerFixture {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 10_000)]);
    fixture.owner.restore_learnt(&LearntTables {
        coefficients: vec![LearntCoefficient {
            best_effort: "resize".into(),
            serving: "desk".into(),
            load,
            measurements: 10,
        }],
        lowest_ms: vec![("desk".into(), lowest_ms)],
        ..LearntTables::default()
    });
    let desk = StepSpec {
        is_long_running: true,
        latency_target_ms: Some(TARGET_MS),
        image: Some("desk".into()),
        ..step(1, 2_000)
    };
    fixture.accept(DESK, accepted_at(fixture.now, vec![desk]));
    assert_eq!(fixture.started_tasks().len(), 1);
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
fn overdue_task_is_not_placed_beside_a_run_that_it_would_slow(latency_ms: u64, load: f64) {
    let mut fixture = beside_latency_sensitive_run(latency_ms, load);
    for _ in 0..120 {
        fixture.wait(500);
        fixture.answer("w-1", &[desk_run(latency_ms)], &[]);
        let starts = fixture.started_tasks();
        assert!(starts.is_empty(), "got {starts:?}");
    }
}

/// Lets the worker show the latency, and its best-effort runs, every half second. Returns what
/// the owner asks it to do.
fn show_latency(
    fixture: &mut OwnerFixture,
    latency_ms: u64,
    fills: &[&str],
    polls: usize,
) -> Vec<String> {
    let mut lines = Vec::new();
    for _ in 0..polls {
        lines.extend(fixture.wait(500));
        let fills = fills.iter().map(|task| running(task, 1));
        let mut shown: Vec<RunningRun> = fills.collect();
        shown.push(desk_run(latency_ms));
        fixture.answer("w-1", &shown, &[]);
        lines.extend(fixture.step_and_store());
    }
    lines
}

#[test_case(40, 48, 1; "hardly more than without load")]
#[test_case(40, 52, 0; "with load")]
#[test_case(52, 55, 0; "near the target without load")]
fn overdue_task_gets_a_turn_where_latency_is_as_without_load(
    lowest_ms: u64,
    latency_ms: u64,
    starts: usize,
) {
    let mut fixture = beside_run_of_image(lowest_ms, latency_ms, 0.9);
    let lines = show_latency(&mut fixture, latency_ms, &[], 18);
    assert_eq!(lines.len(), starts, "{lines:?}");
}

/// The same with a low latency, expected interference and a second such job.
fn two_beside_latency_sensitive_run() -> OwnerFixture {
    let mut fixture = beside_latency_sensitive_run(25, 0.9);
    let second = StepSpec {
        image: Some("resize".into()),
        ..fill_step()
    };
    fixture.accept(NEW, accepted_at(fixture.now, vec![second]));
    fixture
}

#[test_case(0; "no latency while nobody calls")]
#[test_case(25; "a low latency")]
fn overdue_task_gets_a_turn_at_a_low_pace_where_measured_latency_is_low(latency_ms: u64) {
    let mut fixture = two_beside_latency_sensitive_run();
    let lines = show_latency(&mut fixture, latency_ms, &[], 18);
    let fill = format!("{OLD}.0.0.0");
    assert_eq!(lines, [format!("start {fill}#1 at w-1")]);
    fixture.started("w-1", &fill, 1, StartOutcome::Accepted);
    assert_eq!(fixture.step(), [format!("pace {fill}#1 30")]);
}

#[test]
fn overdue_task_leaves_a_worker_where_the_latency_rises_and_no_other_comes_at_once() {
    let mut fixture = two_beside_latency_sensitive_run();
    assert_eq!(show_latency(&mut fixture, 25, &[], 18).len(), 1);
    let fill = format!("{OLD}.0.0.0");
    fixture.started("w-1", &fill, 1, StartOutcome::Accepted);
    let lines = show_latency(&mut fixture, 85, &[&fill], 2);
    let expected = [format!("pace {fill}#1 30"), format!("stop {fill}#1 at w-1")];
    assert_eq!(lines, expected);
    fixture.stopped("w-1", &fill, 1, STOP_ACCEPTED);
    assert!(show_latency(&mut fixture, 25, &[], 3).is_empty());
    let again = show_latency(&mut fixture, 25, &[], 2);
    assert_eq!(again, [format!("start {NEW}.0.0.0#1 at w-1")]);
}

#[test]
fn overdue_task_at_a_low_pace_is_not_taken_for_stuck() {
    let mut fixture = beside_latency_sensitive_run(25, 1.2);
    let durations_ms = vec![("charts".into(), 500.0)];
    fixture.owner.restore_learnt(&LearntTables {
        durations_ms,
        ..LearntTables::default()
    });
    assert_eq!(show_latency(&mut fixture, 25, &[], 18).len(), 1);
    let fill = format!("{OLD}.0.0.0");
    fixture.started("w-1", &fill, 1, StartOutcome::Accepted);
    // At full pace a run would be stopped after 8 times the average of 500 ms.
    let lines = show_latency(&mut fixture, 25, &[&fill], 16);
    assert_eq!(lines, [format!("pace {fill}#1 30")]);
}

#[test]
fn report_of_a_wait_says_how_often_the_task_ran_and_was_moved() {
    let mut fixture = beside_latency_sensitive_run(25, 0.9);
    assert_eq!(show_latency(&mut fixture, 25, &[], 18).len(), 1);
    let fill = format!("{OLD}.0.0.0");
    fixture.started("w-1", &fill, 1, StartOutcome::Accepted);
    assert_eq!(show_latency(&mut fixture, 85, &[&fill], 2).len(), 2);
    fixture.stopped("w-1", &fill, 1, STOP_ACCEPTED);
    assert!(show_latency(&mut fixture, 85, &[], 12).is_empty());
    let decisions = fixture.owner.take_decisions();
    let latest = decisions.iter().rev().find_map(|decision| match decision {
        DecisionEvent::JobWaits {
            task,
            runs,
            moves,
            is_limited,
            ..
        } => Some((task.to_string(), *runs, *moves, *is_limited)),
        _ => None,
    });
    assert_eq!(latest, Some((fill, 1, 1, false)));
}

/// Guards the jobs that can still be on time: under load they need the processors.
#[test]
fn overdue_task_does_not_start_beside_latency_sensitive_runs_while_newer_jobs_wait() {
    let mut fixture = beside_latency_sensitive_run(25, 0.9);
    for number in 0..10 {
        let newer = format!("{number:016x}");
        let too_large = step(1, 100_000);
        fixture.accept(&newer, accepted_at(fixture.now, vec![too_large]));
        let lines = show_latency(&mut fixture, 25, &[], 4);
        assert!(lines.is_empty(), "got {lines:?}");
    }
    let lines = show_latency(&mut fixture, 25, &[], 18);
    assert_eq!(lines, [format!("start {OLD}.0.0.0#1 at w-1")]);
}
