//! Workers that restart under their names: what is known of one incarnation says nothing of
//! the next, which counts its ends from 1 again.

use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::JobStanding;
use sapphirestile_jobs::StartOutcome;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::ended;
use crate::test_values::job_spec;
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
    fixture.accept(LATER_JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {LATER_TASK}#1 at w-1")]);
    fixture.started("w-1", LATER_TASK, 1, StartOutcome::Accepted);
    fixture.step();
    let end = ended(1, LATER_TASK, 1, EndKind::Done);
    fixture.respond_as_incarnation("w-1", 2, &[], &[end]);
    assert!(fixture.step().is_empty());
    let batch = fixture.batch().expect("the completion is to be stored");
    assert_eq!(batch.progress[0].1.standing, JobStanding::Completed);
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
