//! Order in which jobs start.

use sapphirestile_jobs::JobSpec;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::job_spec;
use crate::test_values::step;
use crate::test_values::worker;

const OLD: &str = "aaaaaaaaaaaaaaaa";
const NEW: &str = "bbbbbbbbbbbbbbbb";

fn in_queue(queue: &str, spec: JobSpec) -> JobSpec {
    JobSpec {
        queue: queue.into(),
        ..spec
    }
}

/// The job that is started on a worker with capacity for one task.
fn first_started_job(fixture: &mut OwnerFixture) -> String {
    fixture.step();
    let lines = fixture.store();
    assert_eq!(lines.len(), 1, "{lines:?}");
    lines[0]["start ".len()..][..16].to_owned()
}

#[test]
fn higher_priority_queue_comes_first() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    fixture.accept(OLD, in_queue("charts", job_spec(vec![step(1, 1_000)])));
    fixture.accept(NEW, in_queue("urgent", job_spec(vec![step(1, 1_000)])));
    assert_eq!(first_started_job(&mut fixture), NEW);
}

#[test]
fn older_job_comes_first_while_both_can_meet_their_objective() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    fixture.accept(OLD, job_spec(vec![step(1, 1_000)]));
    fixture.now += 500;
    fixture.accept(NEW, job_spec(vec![step(1, 1_000)]));
    assert_eq!(first_started_job(&mut fixture), OLD);
}

#[test]
fn job_that_can_meet_its_objective_overtakes_a_late_one() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    fixture.accept(OLD, job_spec(vec![step(1, 1_000)]));
    // The objective is 2 x 1 s of work + 1 s of slack, so a start after 2 s is too late.
    fixture.now += 2_001;
    fixture.answer("w-1", &[], &[]);
    fixture.accept(NEW, job_spec(vec![step(1, 1_000)]));
    assert_eq!(first_started_job(&mut fixture), NEW);
}
