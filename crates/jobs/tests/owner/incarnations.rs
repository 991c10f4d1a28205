//! Workers that restart under their names: what is known of one incarnation says nothing of
//! the next, which counts its ends from 1 again.

use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::PollOutcome;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StopOutcome;
use sapphirestile_jobs::WorkerEvent;
use sapphirestile_jobs::WorkerIncarnation;

use crate::owner_fixture::AUTHORITY_MS;
use crate::owner_fixture::LEASE_MAX_MS;
use crate::owner_fixture::OwnerFixture;
use crate::test_values::STOP_ACCEPTED;
use crate::test_values::ended;
use crate::test_values::job_spec;
use crate::test_values::long_running_job;
use crate::test_values::step;
use crate::test_values::worker;

const JOB: &str = "aaaaaaaaaaaaaaaa";
const TASK: &str = "aaaaaaaaaaaaaaaa.0.0.0";
const LATER_JOB: &str = "bbbbbbbbbbbbbbbb";
const LATER_TASK: &str = "bbbbbbbbbbbbbbbb.0.0.0";

/// A run has completed, and its end is being stored.
fn fixture_that_stores_an_end() -> OwnerFixture {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_000)]);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {TASK}#1 at w-1")]);
    fixture.started("w-1", TASK, 1, StartOutcome::Accepted);
    fixture.answer("w-1", &[], &[ended(1, TASK, 1, EndKind::Done)]);
    fixture.step();
    fixture.batch().expect("the end is to be stored");
    fixture
}

/// The later task completes as the first run of the second incarnation.
fn complete_later_task(fixture: &mut OwnerFixture) {
    fixture.list_incarnation("w-1", 2);
    fixture.accept(LATER_JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {LATER_TASK}#1 at w-1")]);
    fixture.started("w-1", LATER_TASK, 1, StartOutcome::Accepted);
    fixture.step();
    let end = ended(1, LATER_TASK, 1, EndKind::Done);
    fixture.respond_as_incarnation("w-1", 2, &[], &[end]);
    fixture.assert_completed();
}

/// A worker restarts while the end of a run is being stored. The number of that end belongs
/// to the earlier incarnation; applied to the later one, it skips a completion unread, and
/// the task runs a second time.
#[test]
fn end_that_is_stored_after_a_restart_counts_for_the_earlier_incarnation() {
    let mut fixture = fixture_that_stores_an_end();
    fixture.wait(1_300);
    fixture.respond_as_incarnation("w-1", 2, &[], &[]);
    let now = fixture.time();
    fixture.owner.confirm_batch(now, fixture.now);
    fixture.step();
    complete_later_task(&mut fixture);
}

/// The end of a run is stored, and the worker may drop it.
fn fixture_with_stored_end() -> OwnerFixture {
    let mut fixture = fixture_that_stores_an_end();
    let now = fixture.time();
    fixture.owner.confirm_batch(now, fixture.now);
    fixture.step();
    let acknowledged = fixture.acknowledged("w-1").expect("the end is stored");
    assert_eq!(acknowledged.number, 1);
    fixture
}

/// A worker loses power and restarts while a poll waits for its response. The next poll may
/// reach another incarnation, which would drop its first ends unread.
#[test]
fn poll_after_one_without_a_response_lets_the_worker_drop_no_ends() {
    let mut fixture = fixture_with_stored_end();
    fixture.wait(1_900);
    fixture.finish_poll("w-1", PollOutcome::NoResponse);
    fixture.wait(300);
    assert_eq!(fixture.acknowledged("w-1"), None);
    fixture.respond_as_incarnation("w-1", 2, &[], &[]);
    fixture.step();
    let acknowledged = fixture
        .acknowledged("w-1")
        .expect("the worker has responded");
    assert_eq!(acknowledged.incarnation, WorkerIncarnation::from_unix_ms(2));
    assert_eq!(acknowledged.number, 0);
    complete_later_task(&mut fixture);
}

/// The list shows that a worker has restarted before any poll does. Its clock begins anew, so
/// a start with a lease on the clock of the earlier incarnation could run on for too long.
#[test]
fn worker_that_is_listed_as_restarted_gets_no_start_before_it_responds() {
    let mut fixture = fixture_with_stored_end();
    let mut entry = worker("w-1", 2_000);
    entry.incarnation = WorkerIncarnation::from_unix_ms(2);
    let now = fixture.time();
    fixture
        .owner
        .apply_worker_event(WorkerEvent::Present(entry), now);
    fixture.accept(LATER_JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    assert!(
        fixture.batch().is_none(),
        "assigned to an unknown incarnation"
    );
    fixture.finish_poll("w-1", PollOutcome::NoResponse);
    fixture.wait(300);
    assert_eq!(fixture.acknowledged("w-1"), None);
    fixture.respond_as_incarnation("w-1", 2, &[], &[]);
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {LATER_TASK}#1 at w-1")]);
}

/// A run was sent to a worker that the list then shows as restarted, and that does not
/// respond. The new incarnation may have taken the start, with the longest lease that a worker
/// grants.
#[test]
fn run_on_a_worker_that_is_listed_as_restarted_is_not_given_up_before_the_longest_lease() {
    let mut fixture = fixture_with_stored_end();
    fixture.wait(AUTHORITY_MS * 2);
    fixture.answer("w-1", &[], &[]);
    fixture.accept(LATER_JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {LATER_TASK}#1 at w-1")]);
    fixture.started("w-1", LATER_TASK, 1, StartOutcome::Accepted);
    let mut entry = worker("w-1", 2_000);
    entry.incarnation = WorkerIncarnation::from_unix_ms(2);
    fixture.wait(1_000);
    let now = fixture.time();
    fixture
        .owner
        .apply_worker_event(WorkerEvent::Present(entry.clone()), now);
    fixture
        .owner
        .apply_worker_event(WorkerEvent::Gone(entry.name), now);
    let listed_at = fixture.now;
    let mut answered = 0;
    while fixture.now < listed_at + LEASE_MAX_MS {
        if fixture.latest_poll("w-1") > answered {
            answered = fixture.latest_poll("w-1");
            fixture.finish_poll("w-1", PollOutcome::NoResponse);
        }
        fixture.wait(100);
        assert!(fixture.batch().is_none(), "given up too early");
    }
}

/// An entry of another writer does not say when the worker started. That is no restart.
#[test]
fn entry_without_a_start_changes_nothing() {
    let mut fixture = fixture_with_stored_end();
    let mut entry = worker("w-1", 2_000);
    entry.incarnation = WorkerIncarnation::default();
    let now = fixture.time();
    fixture
        .owner
        .apply_worker_event(WorkerEvent::Present(entry), now);
    fixture.accept(LATER_JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {LATER_TASK}#1 at w-1")]);
}

/// Workers that lose power come back under other names at their addresses.
#[test]
fn long_running_task_waits_for_no_lease_of_a_worker_whose_address_another_has() {
    let mut fixture = OwnerFixture::claimed(vec![worker("w-1", 2_000), worker("w-2", 2_000)]);
    fixture
        .owner
        .restore_job(long_running_job(JOB, 1), fixture.time(), fixture.now);
    fixture.answer("w-2", &[], &[]);
    fixture.finish_poll("w-1", PollOutcome::OtherIncarnation);
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {TASK}#5 at w-2")]);
}

/// The list of workers is behind: the run is at a later incarnation, at another address.
#[test]
fn run_of_a_later_incarnation_than_the_listed_one_is_not_given_up() {
    let mut fixture = OwnerFixture::claimed(vec![worker("w-1", 2_000), worker("w-2", 2_000)]);
    fixture
        .owner
        .restore_job(long_running_job(JOB, 2), fixture.time(), fixture.now);
    fixture.answer("w-2", &[], &[]);
    fixture.finish_poll("w-1", PollOutcome::OtherIncarnation);
    fixture.step();
    assert!(fixture.batch().is_none(), "the run was given up");
}

#[test]
fn answer_from_an_earlier_address_of_a_worker_ends_no_run() {
    let mut fixture = OwnerFixture::claimed(vec![worker("w-1", 2_000), worker("w-2", 2_000)]);
    fixture
        .owner
        .restore_job(long_running_job(JOB, 1), fixture.time(), fixture.now);
    fixture.answer("w-2", &[], &[]);
    let mut moved = worker("w-1", 2_000);
    moved.address.set_port(2);
    fixture
        .owner
        .apply_worker_event(WorkerEvent::Present(moved), fixture.time());
    fixture.finish_poll("w-1", PollOutcome::OtherIncarnation);
    fixture.step();
    assert!(fixture.batch().is_none(), "the run was given up");
}

#[test]
fn answer_to_a_poll_before_a_start_was_accepted_does_not_end_the_run() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_000)]);
    fixture.step();
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {TASK}#1 at w-1")]);
    fixture.started("w-1", TASK, 1, StartOutcome::Accepted);
    fixture.finish_poll("w-1", PollOutcome::OtherIncarnation);
    fixture.step();
    assert!(fixture.batch().is_none(), "the run was given up");
}

/// Guards against a task that runs twice: a start without an answer was stopped at the first
/// incarnation, and reaches the second one late, which knows of no stop.
#[test]
fn stop_that_an_earlier_incarnation_has_accepted_is_sent_to_the_next() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_000)]);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {TASK}#1 at w-1")]);
    fixture.started("w-1", TASK, 1, StartOutcome::Unknown);
    assert_eq!(fixture.step(), [format!("stop {TASK}#1 at w-1")]);
    fixture.stopped("w-1", TASK, 1, STOP_ACCEPTED);
    fixture.finish_poll("w-1", PollOutcome::NoResponse);
    fixture.wait(300);
    fixture.respond_as_incarnation("w-1", 2, &[], &[]);
    assert_eq!(fixture.step(), [format!("stop {TASK}#1 at w-1")]);
    assert!(fixture.batch().is_none(), "the task was given back");
    let second = StopOutcome::Accepted(WorkerIncarnation::from_unix_ms(2));
    fixture.stopped("w-1", TASK, 1, second);
    fixture.respond_as_incarnation("w-1", 2, &[], &[]);
    fixture.step();
    fixture.respond_as_incarnation("w-1", 2, &[], &[]);
    fixture.step();
    assert!(fixture.batch().is_some(), "the task waits for ever");
}

/// Guards against a worker that gets more than it has, or a task whose label it lacks: after a
/// restart it was of another kind, and got tasks by the entry of the incarnation before.
#[test]
fn restarted_worker_gets_tasks_only_by_its_own_entry() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 4_000)]);
    fixture.wait(300);
    fixture.respond_as_incarnation("w-1", 2, &[], &[]);
    fixture.accept(JOB, job_spec(vec![step(4, 1_000)]));
    fixture.step();
    assert!(fixture.batch().is_none(), "its resources are not known");
    let mut entry = worker("w-1", 2_000);
    entry.incarnation = WorkerIncarnation::from_unix_ms(2);
    let now = fixture.time();
    fixture
        .owner
        .apply_worker_event(WorkerEvent::Present(entry), now);
    fixture.step();
    assert_eq!(fixture.store().len(), 2);
}

/// An entry that does not say when its worker started is used as it is.
#[test]
fn worker_whose_entry_says_no_incarnation_gets_tasks() {
    let mut entry = worker("w-1", 2_000);
    entry.incarnation = WorkerIncarnation::default();
    let mut fixture = OwnerFixture::with_workers(vec![entry]);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {TASK}#1 at w-1")]);
}
