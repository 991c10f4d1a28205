//! Exclusion of failing workers, and how soon they get tasks again.

use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StepSpec;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::job_spec;
use crate::test_values::step;
use crate::test_values::worker;

const JOB: &str = "aaaaaaaaaaaaaaaa";
const LONG_RUNNING: &str = "bbbbbbbbbbbbbbbb";
const TASKS: u32 = 12;

/// Maximum time until a worker that has recovered gets a long-running task, in
/// milliseconds.
const BACKOFF_MAX_MS: u64 = 4_500;

fn accept_long_running(fixture: &mut OwnerFixture) {
    let long_running = StepSpec {
        is_long_running: true,
        ..step(1, 1_000)
    };
    fixture.accept(LONG_RUNNING, job_spec(vec![long_running]));
}

/// Time until the only worker, which responds to every poll, is sent the task, in
/// milliseconds.
fn wait_for_start(fixture: &mut OwnerFixture) -> u64 {
    let started_at = fixture.now;
    while fixture.now < started_at + 30_000 {
        fixture.wait(100);
        fixture.answer("w-1", &[], &[]);
        fixture.step();
        let has_batch = fixture.batch().is_some();
        let now = fixture.time();
        if has_batch {
            fixture.owner.confirm_batch(now, fixture.now);
        }
        let lines = fixture.step();
        if lines
            .iter()
            .any(|line| line.starts_with(&format!("start {LONG_RUNNING}")))
        {
            return fixture.now - started_at;
        }
    }
    panic!("the task was not started within 30 s");
}

#[test]
fn simultaneous_failures_trip_the_breaker_once() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 64_000)]);
    fixture.accept(JOB, job_spec(vec![step(TASKS, 100)]));
    fixture.step();
    fixture.store();
    for index in 0..TASKS {
        let task = format!("{JOB}.0.0.{index}");
        fixture.started("w-1", &task, 1, StartOutcome::Unknown);
    }
    fixture.cancel(JOB);
    accept_long_running(&mut fixture);
    let waited_ms = wait_for_start(&mut fixture);
    assert!(waited_ms <= 2_500, "started after {waited_ms} ms");
}

#[test]
fn backoff_of_a_failing_worker_is_bounded() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 64_000)]);
    for round in 0..4_u32 {
        let job = format!("{:016x}", 0xc0 + round);
        fixture.accept(&job, job_spec(vec![step(3, 100)]));
        for _ in 0..200 {
            fixture.wait(100);
            fixture.answer("w-1", &[], &[]);
            fixture.step();
            if fixture.batch().is_some() {
                let now = fixture.time();
                fixture.owner.confirm_batch(now, fixture.now);
                let lines = fixture.step();
                if lines.iter().any(|line| line.starts_with("start")) {
                    break;
                }
            }
        }
        for index in 0..3 {
            let task = format!("{job}.0.0.{index}");
            fixture.started("w-1", &task, 1, StartOutcome::Unknown);
        }
        fixture.cancel(&job);
    }
    accept_long_running(&mut fixture);
    let waited_ms = wait_for_start(&mut fixture);
    assert!(waited_ms <= BACKOFF_MAX_MS, "started after {waited_ms} ms");
}
