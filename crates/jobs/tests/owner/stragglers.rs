//! Runs that take far longer than others.

use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::StartOutcome;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::STOP_ACCEPTED;
use crate::test_values::ended;
use crate::test_values::job_spec;
use crate::test_values::running;
use crate::test_values::step;
use crate::test_values::worker;

const SHORT_JOB: &str = "aaaaaaaaaaaaaaaa";
const SHORT_TASK: &str = "aaaaaaaaaaaaaaaa.0.0.0";
const LONG_JOB: &str = "bbbbbbbbbbbbbbbb";
const LONG_TASK: &str = "bbbbbbbbbbbbbbbb.0.0.0";

/// Duration of the short task, in milliseconds.
const SHORT_MS: u64 = 500;
/// Duration of the long task, in milliseconds.
const LONG_MS: u64 = 6_000;
/// Time between two responses of the worker, in milliseconds.
const RESPONSE_MS: u64 = 100;
/// Time within which the long task has to complete, in milliseconds.
const COMPLETED_MS: u64 = 60_000;

/// Takes the number of the run from a line such as "start TASK#2 at w-1".
fn started_run(lines: &[String]) -> Option<u32> {
    let prefix = format!("start {LONG_TASK}#");
    let rest = lines.iter().find_map(|line| line.strip_prefix(&*prefix))?;
    rest.split_once(' ')?.0.parse().ok()
}

/// Guards against a job that never ends: its task takes longer than those of other jobs, and
/// every run of it was stopped after the same short time.
#[test]
fn task_that_takes_longer_than_others_completes() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    fixture.accept(SHORT_JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    fixture.store();
    fixture.started("w-1", SHORT_TASK, 1, StartOutcome::Accepted);
    fixture.wait(SHORT_MS);
    let mut ends = vec![ended(1, SHORT_TASK, 1, EndKind::Done)];
    fixture.answer("w-1", &[], &ends);
    fixture.store();
    fixture.accept(LONG_JOB, job_spec(vec![step(1, 1_000)]));
    let began = fixture.now;
    let (mut run, mut started_at) = (None, 0);
    while fixture.now < began + COMPLETED_MS {
        let mut lines = fixture.wait(RESPONSE_MS);
        if let Some(number) = run
            && fixture.now >= started_at + LONG_MS
        {
            ends.push(ended(
                ends.len() as u64 + 1,
                LONG_TASK,
                number,
                EndKind::Done,
            ));
            fixture.answer("w-1", &[], &ends);
            return;
        }
        if lines.iter().any(|line| line.starts_with("stop ")) {
            let number = run.take().expect("only a run that was started is stopped");
            fixture.stopped("w-1", LONG_TASK, number, STOP_ACCEPTED);
            ends.push(ended(
                ends.len() as u64 + 1,
                LONG_TASK,
                number,
                EndKind::Stopped,
            ));
        }
        let shown: Vec<_> = run.map(|run| running(LONG_TASK, run)).into_iter().collect();
        fixture.answer("w-1", &shown, &ends);
        lines.extend(fixture.step());
        let now = fixture.time();
        if fixture.batch().is_some() {
            fixture.owner.confirm_batch(now, fixture.now);
            lines.extend(fixture.step());
        }
        if let Some(number) = started_run(&lines) {
            fixture.started("w-1", LONG_TASK, number, StartOutcome::Accepted);
            (run, started_at) = (Some(number), fixture.now);
        }
    }
    panic!("the task did not complete in {COMPLETED_MS} ms");
}
