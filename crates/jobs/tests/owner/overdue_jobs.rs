//! The bound on how long a job waits with nothing running.

use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobPlace;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::LeaseBounds;
use sapphirestile_jobs::RepeatRule;
use sapphirestile_jobs::RunningRun;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StepSpec;
use sapphirestile_jobs::StoredJob;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::accepted_at;
use crate::test_values::ended;
use crate::test_values::fill_step;
use crate::test_values::running;
use crate::test_values::step;
use crate::test_values::worker;

const OLD: &str = "aaaaaaaaaaaaaaaa";
const NEW: &str = "bbbbbbbbbbbbbbbb";
/// Time by which a job has something running, in milliseconds: the bound of 5 s, and the run
/// that occupies the worker then.
const TURN_MS: u64 = 7_000;
/// Time that each short task takes, in milliseconds.
const RUN_MS: u64 = 1_000;

#[test]
fn job_too_late_to_be_of_use_gets_its_turn_while_newer_jobs_keep_arriving() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    let accepted = fixture.now;
    fixture.accept(
        "0000000000000000",
        accepted_at(accepted, vec![step(1, 1_000)]),
    );
    let mut occupied = fixture.started_tasks().pop();
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
        occupied = fixture.started_tasks().pop();
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
    assert_eq!(fixture.started_tasks(), [format!("{OLD}.0.0.0")]);
}

#[test]
fn job_that_moved_before_it_began_gets_its_turn_by_its_age() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    fixture.now += 2 * TURN_MS;
    fixture.answer("w-1", &[], &[]);
    let accepted = fixture.now - TURN_MS;
    fixture.accept(OLD, accepted_at(accepted, vec![step(1, 1_000)]));
    let urgent = JobSpec {
        queue: "urgent".into(),
        ..accepted_at(fixture.now, vec![step(1, 1_000)])
    };
    fixture.accept(NEW, urgent);
    assert_eq!(fixture.started_tasks(), [format!("{OLD}.0.0.0")]);
}

#[test]
fn late_job_finds_a_worker_though_no_processor_is_ever_idle() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    let mut runs = Vec::new();
    fixture.accept(NEW, accepted_at(fixture.now, vec![fill_step()]));
    take_up(&mut fixture, &mut runs);
    let accepted = fixture.now;
    fixture.accept(OLD, accepted_at(accepted, vec![fill_step()]));
    while fixture.now < accepted + TURN_MS {
        take_up(&mut fixture, &mut runs);
    }
    assert_eq!(runs.len(), 2, "{runs:?}");
}

#[test]
fn step_that_has_just_become_possible_does_not_share_busy_processors() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    let second = StepSpec {
        after: vec![0],
        ..fill_step()
    };
    let mut runs = Vec::new();
    fixture.accept(OLD, accepted_at(fixture.now, vec![fill_step(), second]));
    take_up(&mut fixture, &mut runs);
    fixture.accept(NEW, accepted_at(fixture.now, vec![fill_step()]));
    let first = format!("{OLD}.0.0.0");
    assert_eq!(runs, std::slice::from_ref(&first));
    fixture.wait(8_000);
    let end = ended(1, &first, 1, EndKind::Done);
    fixture.answer("w-1", &[], std::slice::from_ref(&end));
    let newer = format!("{NEW}.0.0.0");
    assert_eq!(fixture.started_tasks(), std::slice::from_ref(&newer));
    fixture.started("w-1", &newer, 1, StartOutcome::Accepted);
    fixture.wait(1_000);
    fixture.answer("w-1", &[running(&newer, 1)], &[end]);
    assert_eq!(fixture.started_tasks(), [format!("{OLD}.0.1.0")]);
}

#[test]
fn repeated_job_that_is_due_does_not_come_before_one_that_has_waited() {
    let mut fixture =
        OwnerFixture::claimed_at(90_000, LeaseBounds::of_all(0), vec![worker("w-1", 1_000)]);
    fixture.store();
    fixture.answer("w-1", &[], &[]);
    let stored = |job: &str, spec| StoredJob {
        identity: JobIdentity::try_from(job).unwrap(),
        spec,
        progress: None,
        place: JobPlace::Home,
        is_cancelled: false,
    };
    let repeated = JobSpec {
        repeat: Some(RepeatRule {
            first_unix_ms: fixture.now,
            interval_ms: 60_000,
            occurrences: 2,
        }),
        ..accepted_at(fixture.now - 60_000, vec![step(1, 1_000)])
    };
    let old = accepted_at(fixture.now - TURN_MS, vec![step(1, 1_000)]);
    let now = fixture.time();
    for job in [stored(NEW, repeated), stored(OLD, old)] {
        fixture.owner.restore_job(job, now, fixture.now);
    }
    assert_eq!(fixture.started_tasks(), [format!("{OLD}.0.0.0")]);
}

#[test]
fn repeated_job_gets_its_turn_a_while_after_each_of_its_times() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    let mut runs = Vec::new();
    fixture.accept(NEW, accepted_at(fixture.now, vec![fill_step()]));
    take_up(&mut fixture, &mut runs);
    let mut repeated = accepted_at(fixture.now, vec![fill_step()]);
    repeated.repeat = Some(RepeatRule {
        first_unix_ms: fixture.now + 4_000,
        interval_ms: 20_000,
        occurrences: 2,
    });
    let first_due = fixture.now + 4_000;
    fixture.accept(OLD, repeated);
    for due in [first_due, first_due + 20_000] {
        while fixture.now < due + 4_500 {
            take_up(&mut fixture, &mut runs);
        }
        assert_eq!(runs.len(), 1, "shares too early: {runs:?}");
        while fixture.now < due + 6_500 {
            take_up(&mut fixture, &mut runs);
        }
        assert_eq!(runs.len(), 2, "{runs:?}");
        let repeated_task = runs.remove(0);
        let end = ended(due, &repeated_task, 1, EndKind::Done);
        fixture.wait(500);
        fixture.answer("w-1", &[running(&runs[0], 1)], &[end]);
    }
}

/// Lets the worker show its runs, and takes up those that start.
fn take_up(fixture: &mut OwnerFixture, runs: &mut Vec<String>) {
    fixture.wait(500);
    let shown: Vec<RunningRun> = runs.iter().map(|task| running(task, 1)).collect();
    fixture.answer("w-1", &shown, &[]);
    for task in fixture.started_tasks() {
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
    let mut runs = Vec::new();
    for job in 0..30 {
        fixture.accept(
            &format!("{job:016x}"),
            accepted_at(fixture.now, vec![fill_step()]),
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
