//! Bounds on the leases of workers that restart under their names, where workers take leases
//! that are longer than the authority of an owner.

use sapphirestile_jobs::LeaseBounds;
use sapphirestile_jobs::OwnerLimits;
use sapphirestile_jobs::PollOutcome;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::WorkerEntry;
use sapphirestile_jobs::WorkerIncarnation;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::job_spec;
use crate::test_values::long_running_job;
use crate::test_values::running;
use crate::test_values::step;
use crate::test_values::worker;
use crate::test_values::worker_name;

const JOB: &str = "aaaaaaaaaaaaaaaa";
const TASK: &str = "aaaaaaaaaaaaaaaa.0.0.0";

/// The limits of a deployment whose workers take leases of ten seconds.
const LIMITS: OwnerLimits = OwnerLimits {
    lease_ms: OwnerLimits::LEASE_MS,
    lease_max_ms: 10_000,
    authority_ms: OwnerLimits::AUTHORITY_MS,
    retention_ms: 60_000,
};

/// The time within which a lost long-running task has to run again, in milliseconds.
const RESTART_MS: u64 = 9_000;

fn owner(inherited: LeaseBounds, entries: Vec<WorkerEntry>) -> OwnerFixture {
    let mut fixture = OwnerFixture::claimed_with(LIMITS, 20_000, inherited, entries);
    fixture.store();
    fixture
}

/// Time until the run at w-1, which does not respond, is given up.
fn given_up_after(fixture: &mut OwnerFixture) -> u64 {
    let began = fixture.now;
    let mut polled = 0;
    for _ in 0..200 {
        if fixture.latest_poll("w-1") > polled {
            polled = fixture.latest_poll("w-1");
            fixture.finish_poll("w-1", PollOutcome::NoResponse);
        }
        fixture.wait(100);
        if fixture.batch().is_some() {
            return fixture.now - began;
        }
    }
    panic!("the run was never given up");
}

/// A late start may have reached the incarnation that the new owner finds in the list, with
/// the longest lease.
#[test]
fn new_owner_waits_for_the_longest_lease_of_a_worker_that_is_listed_as_restarted() {
    let mut entry = worker("w-1", 2_000);
    entry.incarnation = WorkerIncarnation::from_unix_ms(2);
    let mut inherited = LeaseBounds::of_all(4_000);
    inherited.workers.insert(worker_name("w-1"), 300);
    let mut fixture = owner(inherited, vec![entry]);
    let time = fixture.time();
    let now = fixture.now;
    fixture
        .owner
        .restore_job(long_running_job(JOB, 1), time, now);
    let after = given_up_after(&mut fixture);
    assert!(
        after >= LIMITS.lease_max_ms,
        "given up after {after} ms; the start may have begun a lease of 10 s"
    );
}

/// The owner waits for the longest lease of a restarted worker; so must the next one.
#[test]
fn stored_bound_of_a_worker_is_not_shorter_than_the_wait_of_its_owner() {
    let mut fixture = owner(LeaseBounds::of_all(0), vec![worker("w-1", 2_000)]);
    fixture.answer("w-1", &[], &[]);
    fixture.wait(300);
    fixture.respond_as_incarnation("w-1", 2, &[], &[]);
    fixture.list_incarnation("w-1", 2);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    let now = fixture.time();
    let batch = fixture
        .owner
        .take_batch(true, now)
        .expect("the task is assigned");
    fixture.owner.confirm_batch(now, fixture.now);
    let stored_ms = batch.lease_bounds.left_ms(&worker_name("w-1"));
    let (_, tracked) = fixture.owner.workers().next().expect("there is w-1");
    assert_eq!(tracked.runs.len(), 1, "runs at w-1");
    let own_ms = tracked.lease_left_ms(now, now);
    assert!(
        stored_ms >= own_ms,
        "the next owner waits {stored_ms} ms, this one {own_ms} ms"
    );
}

/// Entries that expired in an outage of the store are back two seconds after it.
#[test]
fn new_owner_asks_a_worker_whose_entry_comes_back_after_an_outage_of_the_store() {
    let mut fixture = owner(LeaseBounds::of_all(0), vec![worker("w-2", 2_000)]);
    let time = fixture.time();
    let now = fixture.now;
    let mut job = long_running_job(JOB, 1);
    job.spec.steps[0].is_long_running = false;
    fixture.owner.restore_job(job, time, now);
    for _ in 0..19 {
        fixture.wait(100);
        assert!(
            fixture.batch().is_none(),
            "given up {} ms after the claim, unasked",
            fixture.now - now
        );
    }
}

/// The worker is new, so no request can have reached it but those of this owner.
#[test]
fn long_running_task_of_a_new_worker_that_is_lost_at_once_runs_again_in_time() {
    let mut fixture = owner(LeaseBounds::of_all(0), vec![worker("w-1", 2_000)]);
    fixture.answer("w-1", &[], &[]);
    let mut lasting = step(1, 1_000);
    lasting.is_long_running = true;
    fixture.accept(JOB, job_spec(vec![lasting]));
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {TASK}#1 at w-1")]);
    fixture.started("w-1", TASK, 1, StartOutcome::Accepted);
    fixture.wait(200);
    fixture.answer("w-1", &[running(TASK, 1)], &[]);
    fixture.step();
    let after = given_up_after(&mut fixture);
    assert!(after <= RESTART_MS, "given up after {after} ms");
}

/// A request of this owner that was meant for the first one may be on its way when the worker
/// comes back.
#[test]
fn worker_that_comes_back_under_its_name_may_hold_the_longest_lease() {
    let mut fixture = owner(LeaseBounds::of_all(0), vec![worker("w-1", 2_000)]);
    fixture.answer("w-1", &[], &[]);
    fixture.owner.replace_workers(Vec::new(), fixture.time());
    fixture.wait(5_000);
    assert_eq!(fixture.owner.counts().1, 0, "the owner has dropped it");
    let mut entry = worker("w-1", 2_000);
    entry.incarnation = WorkerIncarnation::from_unix_ms(2);
    fixture.owner.replace_workers(vec![entry], fixture.time());
    fixture.step();
    fixture.respond_as_incarnation("w-1", 2, &[], &[]);
    let now = fixture.time();
    let (_, tracked) = fixture.owner.workers().next().expect("there is w-1");
    assert!(tracked.lease_left_ms(now, now) >= LIMITS.lease_max_ms);
}

/// An owner whose leases have ended long ago has granted some, unlike none at all.
#[test]
fn bounds_that_have_passed_are_not_those_of_a_cell_without_owners() {
    assert!(LeaseBounds::of_all(0).after(1_000).are_none());
    let passed = LeaseBounds::of_all(LIMITS.authority_bound_ms()).after(60_000);
    assert!(!passed.are_none());
}

/// The leases of earlier owners have ended, and the worker has joined since.
#[test]
fn long_running_task_of_a_worker_that_is_new_to_a_later_owner_runs_again_in_time() {
    let passed = LeaseBounds::of_all(LIMITS.authority_bound_ms()).after(60_000);
    let mut fixture = owner(passed, vec![worker("w-1", 2_000)]);
    fixture.answer("w-1", &[], &[]);
    let mut lasting = step(1, 1_000);
    lasting.is_long_running = true;
    fixture.accept(JOB, job_spec(vec![lasting]));
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {TASK}#1 at w-1")]);
    fixture.started("w-1", TASK, 1, StartOutcome::Accepted);
    fixture.wait(200);
    fixture.answer("w-1", &[running(TASK, 1)], &[]);
    fixture.step();
    let after = given_up_after(&mut fixture);
    assert!(after <= RESTART_MS, "given up after {after} ms");
}
