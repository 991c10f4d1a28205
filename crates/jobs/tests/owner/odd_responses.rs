//! Responses that no sound worker gives.

use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::EndList;
use sapphirestile_jobs::EndedRun;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::PollOutcome;
use sapphirestile_jobs::PollResponse;
use sapphirestile_jobs::RunningRun;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::WorkerIncarnation;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::ended;
use crate::test_values::job_spec;
use crate::test_values::running;
use crate::test_values::step;
use crate::test_values::worker;

const JOB: &str = "5c0e7a21d94b36f8";

/// The first worker responds with a clock, runs and ends.
fn respond(fixture: &mut OwnerFixture, clock_ms: u64, runs: &[RunningRun], ends: &[EndedRun]) {
    let response = PollResponse {
        clock_ms,
        incarnation: WorkerIncarnation::from_unix_ms(1),
        running: runs.to_vec(),
        ended: EndList::Complete(ends.to_vec()),
    };
    fixture.finish_poll("w-1", PollOutcome::Responded(response));
}

/// The first worker has odd figures, and the job runs on the other.
fn assert_job_runs_on_the_other(fixture: &mut OwnerFixture) {
    fixture.accept(JOB, job_spec(vec![step(8, 1_000)]));
    fixture.step();
    let started = fixture.store();
    let other = started.iter().filter(|line| line.ends_with("at w-2"));
    assert_eq!(other.count(), 4, "{started:?}");
}

fn two_workers() -> OwnerFixture {
    OwnerFixture::with_workers(vec![worker("w-1", 4_000), worker("w-2", 4_000)])
}

/// Guards against an owner that ends when the end of a lease is worked out.
#[test]
fn clock_that_jumps_back_from_its_limit_ends_no_owner() {
    let mut fixture = OwnerFixture::claimed(vec![worker("w-1", 4_000), worker("w-2", 4_000)]);
    fixture.answer("w-2", &[], &[]);
    respond(&mut fixture, u64::MAX, &[], &[]);
    fixture.wait(300);
    respond(&mut fixture, 0, &[], &[]);
    assert_job_runs_on_the_other(&mut fixture);
    fixture.wait(60_000);
    assert!(fixture.owner.take_batch(true, fixture.time()).is_some());
}

/// Guards against an owner that ends when the checkpoint of a run is stored.
#[test]
fn run_of_a_task_beyond_the_last_ends_no_owner() {
    let mut fixture = two_workers();
    assert_job_runs_on_the_other(&mut fixture);
    let mut run = running(&format!("{JOB}.0.0.{}", u32::MAX), u32::MAX);
    run.checkpoint = "00000bb87a21d94b".into();
    for _ in 0..3 {
        let now = fixture.now;
        respond(&mut fixture, now, std::slice::from_ref(&run), &[]);
        fixture.wait(300);
    }
}

/// Guards against runs that start again beside themselves after the answer to another request.
#[test]
fn answer_that_does_not_say_its_incarnation_gives_up_no_run() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 4_000)]);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    let task = format!("{JOB}.0.0.0");
    assert_eq!(fixture.store(), [format!("start {task}#1 at w-1")]);
    fixture.started("w-1", &task, 1, StartOutcome::Accepted);
    let run = running(&task, 1);
    fixture.answer("w-1", std::slice::from_ref(&run), &[]);
    fixture.wait(300);
    fixture.respond_as_incarnation("w-1", 0, &[], &[]);
    assert!(fixture.wait(300).is_empty());
    fixture.answer("w-1", &[run], &[]);
    assert!(fixture.batch().is_none(), "the run was given up");
}

/// Guards against an owner that ends on an end that it cannot place.
#[test]
fn ends_with_figures_at_their_limits_end_no_owner() {
    for kind in [EndKind::Done, EndKind::Failed, EndKind::Lapsed] {
        let mut fixture = two_workers();
        assert_job_runs_on_the_other(&mut fixture);
        let tasks = [
            "0.0.0",
            "0.0.4294967295",
            "0.4294967295.0",
            "4294967295.0.0",
        ];
        let ends: Vec<EndedRun> = tasks
            .iter()
            .map(|task| ended(u64::MAX, &format!("{JOB}.{task}"), u32::MAX, kind))
            .collect();
        let now = fixture.now;
        respond(&mut fixture, now, &[], &ends);
        fixture.wait(300);
    }
}

/// An owner with a worker that has a run of a job which was forgotten while the run was unknown.
/// The caller has cancelled the forgotten job again.
fn with_run_of_a_forgotten_job() -> OwnerFixture {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 4_000)]);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.cancel(JOB);
    fixture.store();
    fixture.answer("w-1", &[], &[]);
    fixture.wait(60_001);
    let batch = fixture.batch().expect("the deletion is to be stored");
    assert_eq!(batch.forgotten.len(), 1);
    fixture.answer("w-1", &[run_with_checkpoint()], &[]);
    let now = fixture.time();
    fixture.owner.confirm_batch(now, fixture.now);
    let identity = JobIdentity::try_from(JOB).unwrap();
    fixture.owner.retain_cancellation(identity, now);
    fixture.step();
    fixture
}

fn run_with_checkpoint() -> RunningRun {
    RunningRun {
        checkpoint: "0000".into(),
        ..running(&format!("{JOB}.0.0.0"), 1)
    }
}

/// Guards against an owner that ends on a run of a job whose steps are no longer known.
#[test]
fn run_of_a_forgotten_job_that_was_cancelled_again_ends_no_owner() {
    let mut fixture = with_run_of_a_forgotten_job();
    fixture.answer("w-1", &[run_with_checkpoint()], &[]);
    fixture.step();
    let end = ended(1, &format!("{JOB}.0.0.0"), 1, EndKind::Stopped);
    fixture.answer("w-1", &[], &[end]);
    fixture.step();
    let (_, tracked) = fixture.owner.workers().next().unwrap();
    assert!(tracked.runs.is_empty(), "the run takes room for ever");
}

/// The same, for a run whose end is the next that is heard of it.
#[test]
fn end_of_a_run_of_a_forgotten_job_that_was_cancelled_again_ends_no_owner() {
    let mut fixture = with_run_of_a_forgotten_job();
    let end = ended(1, &format!("{JOB}.0.0.0"), 1, EndKind::Stopped);
    fixture.answer("w-1", &[], &[end]);
    fixture.step();
    let (_, tracked) = fixture.owner.workers().next().unwrap();
    assert!(tracked.runs.is_empty(), "the run takes room for ever");
}
