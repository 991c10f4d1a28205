//! Bounds on leases, which an owner stores for the next one.

use sapphirestile_jobs::LeaseBounds;
use sapphirestile_jobs::PollOutcome;
use sapphirestile_jobs::StartOutcome;

use crate::owner_fixture::AUTHORITY_MS;
use crate::owner_fixture::LEASE_MS;
use crate::owner_fixture::OwnerFixture;
use crate::test_values::job_spec;
use crate::test_values::long_running_job;
use crate::test_values::running;
use crate::test_values::step;
use crate::test_values::worker;
use crate::test_values::worker_name;

const JOB: &str = "aaaaaaaaaaaaaaaa";
const TASK: &str = "aaaaaaaaaaaaaaaa.0.0.0";

/// The time from the last write of an owner until the next one claims, in milliseconds.
const CLAIM_DELAY_MS: u64 = 2_000;

/// An owner that claims at `now` and has a run of an earlier owner at w-1, which is gone; w-2
/// responds.
fn owner_after(now: u64, inherited: LeaseBounds) -> OwnerFixture {
    let entries = vec![worker("w-1", 2_000), worker("w-2", 2_000)];
    let mut fixture = OwnerFixture::claimed_at(now, inherited, entries);
    let time = fixture.time();
    fixture
        .owner
        .restore_job(long_running_job(JOB, 1), time, now);
    fixture.answer("w-2", &[], &[]);
    fixture
}

/// The bounds of the next batch, which is stored.
fn stored_bounds(fixture: &mut OwnerFixture) -> LeaseBounds {
    let now = fixture.time();
    let batch = fixture.owner.take_batch(true, now);
    fixture.owner.confirm_batch(now, fixture.now);
    batch.expect("no batch is being stored").lease_bounds
}

/// Lets time pass until the run at w-1 is given up. Returns the time.
fn given_up_at(fixture: &mut OwnerFixture) -> u64 {
    for _ in 0..200 {
        fixture.wait(100);
        fixture.finish_poll("w-1", PollOutcome::NoResponse);
        fixture.answer("w-2", &[], &[]);
        fixture.step();
        if fixture.batch().is_some() {
            return fixture.now;
        }
    }
    panic!("the run was never given up");
}

/// Each of the owners fails before the leases on a lost worker have ended.
#[test]
fn waits_of_owners_in_a_row_for_a_lost_worker_do_not_add_up() {
    let mut bounds = LeaseBounds::of_all(AUTHORITY_MS);
    let mut now = 1_000;
    for _ in 0..5 {
        let mut fixture = owner_after(now, bounds.clone());
        fixture.wait(200);
        fixture.finish_poll("w-1", PollOutcome::NoResponse);
        bounds = stored_bounds(&mut fixture).after(CLAIM_DELAY_MS);
        now = fixture.now + CLAIM_DELAY_MS;
    }
    let mut fixture = owner_after(now, bounds);
    let end = given_up_at(&mut fixture);
    assert!(
        end >= 1_000 + AUTHORITY_MS,
        "given up at {end} ms, too early"
    );
    assert!(
        end <= 1_000 + AUTHORITY_MS + 200,
        "given up only at {end} ms"
    );
}

#[test]
fn next_owner_waits_only_for_the_last_lease_of_a_worker_that_was_silent_before() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_000)]);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    fixture.store();
    fixture.started("w-1", TASK, 1, StartOutcome::Accepted);
    fixture.step();
    fixture.answer("w-1", &[running(TASK, 1)], &[]);
    fixture.step();
    let granted = fixture.granted("w-1").expect("the poll grants a lease");
    fixture.wait(2_000);
    fixture.finish_poll("w-1", PollOutcome::NoResponse);
    let bounds = stored_bounds(&mut fixture);
    let left_ms = bounds.left_ms(&worker_name("w-1"));
    assert!(fixture.now + left_ms >= granted, "shorter than the lease");
    assert!(left_ms < LEASE_MS, "as long as a new lease");
    assert!(bounds.left_ms(&worker_name("w-2")) >= AUTHORITY_MS);
}

/// Otherwise the stored bound of the worker would be too short.
#[test]
fn worker_that_responds_again_gets_no_lease_before_a_batch_without_it_is_stored() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_000)]);
    let time = fixture.time();
    fixture
        .owner
        .restore_job(long_running_job(JOB, 1), time, fixture.now);
    fixture.step();
    fixture.finish_poll("w-1", PollOutcome::NoResponse);
    assert_ne!(
        stored_bounds(&mut fixture).left_ms(&worker_name("w-1")),
        stored_bounds(&mut fixture).others_ms,
        "w-1 is not listed"
    );
    fixture.wait(300);
    fixture.answer("w-1", &[running("aaaaaaaaaaaaaaaa.0.0.0", 4)], &[]);
    fixture.wait(300);
    assert_eq!(fixture.granted("w-1"), None, "the batch lists the worker");
    let now = fixture.time();
    let batch = fixture.owner.take_batch(false, now);
    let batch = batch.expect("the worker is to be taken off the list");
    assert!(batch.lease_bounds.workers.is_empty());
    fixture.answer("w-1", &[running(TASK, 4)], &[]);
    fixture.wait(300);
    assert_eq!(fixture.granted("w-1"), None, "the batch is not stored");
    fixture.owner.confirm_batch(now, fixture.now);
    fixture.answer("w-1", &[running(TASK, 4)], &[]);
    fixture.step();
    assert!(fixture.granted("w-1").is_some());
}

/// Until then the row of the claim has the bounds of earlier owners.
#[test]
fn new_owner_grants_no_lease_before_its_first_batch_is_stored() {
    let entries = vec![worker("w-1", 2_000)];
    let mut fixture = OwnerFixture::claimed_at(1_000, LeaseBounds::of_all(0), entries);
    fixture.answer("w-1", &[], &[]);
    fixture.wait(300);
    assert_eq!(fixture.granted("w-1"), None);
    fixture.store();
    fixture.answer("w-1", &[], &[]);
    fixture.step();
    assert!(fixture.granted("w-1").is_some());
}

#[test]
fn worker_that_is_lost_after_its_first_response_is_given_up_when_earlier_leases_have_ended() {
    let left_ms = 2_000;
    let mut fixture = owner_after(1_000, LeaseBounds::of_all(left_ms));
    fixture.answer("w-1", &[running(TASK, 4)], &[]);
    let end = given_up_at(&mut fixture);
    assert!(end >= 1_000 + left_ms, "given up at {end} ms, too early");
    assert!(end <= 1_000 + left_ms + 500, "given up only at {end} ms");
}
