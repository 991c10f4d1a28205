//! Commands that submit, cancel and watch jobs.

use serde_json::Value;
use serde_json::json;
use test_case::test_case;

use crate::fake_daemon::FakeDaemon;
use crate::fake_daemon::FakeResponse;
use crate::fake_daemon::closed_address;
use crate::tool_run::TOKEN;
use crate::tool_run::run_with_daemons;
use sapphirestile_command::ExitKind;

const SUBMIT: [&str; 11] = [
    "submit",
    "patterns",
    "--customer=tailors",
    "--tasks=2",
    "--cpu-milli=500",
    "--memory-mb=1024",
    "--run-ms=60000",
    "--zone=rannikko-tku",
    "--zone=rannikko-hki",
    "--zone=rannikko-tku",
    "--urgent",
];
const JOB_TEXT: &str = "\
job patterns of customer tailors, cell 3: running
TASK  STATE    ATTEMPT  WORKER  CHECKPOINT  REASON
0     running  2        w1      4000 ms
1     waiting  0        -       0 ms        no worker has room
";

fn submission(tasks: u32) -> Value {
    json!({"job": "patterns", "customer": "tailors", "tasks": tasks,
        "size": {"cpu_milli": 500, "memory_mb": 1024, "accelerators": 0},
        "run_ms": 60000, "urgent": true, "zones": ["rannikko-hki", "rannikko-tku"]})
}

fn job(state: &str, first: &str, second: &str) -> Value {
    json!({"submission": submission(2), "cell": 3, "state": state, "tasks": [
        {"index": 0, "state": first, "attempt": 2, "worker": "w1", "checkpoint_ms": 4000,
            "reason": null},
        {"index": 1, "state": second, "attempt": 0, "worker": null, "checkpoint_ms": 0,
            "reason": "no worker has room"},
    ]})
}

fn running_job() -> Value {
    job("running", "running", "waiting")
}

#[test]
fn a_job_is_submitted() {
    let daemon = FakeDaemon::with_responses(vec![FakeResponse::Json(200, running_job())]);
    let run = run_with_daemons(&[daemon.address], &SUBMIT);
    assert_eq!((run.out.as_str(), run.exit), (JOB_TEXT, ExitKind::Done));
    let call = daemon.calls().remove(0);
    let body = call
        .strip_prefix("POST /v1/jobs ")
        .and_then(|rest| rest.strip_suffix(&format!(" Bearer {TOKEN}")))
        .unwrap();
    assert_eq!(serde_json::from_str::<Value>(body).unwrap(), submission(2));
}

#[test]
fn a_job_without_zones_may_run_in_every_zone() {
    let daemon = FakeDaemon::with_responses(vec![FakeResponse::Json(200, running_job())]);
    run_with_daemons(&[daemon.address], &SUBMIT[..7]);
    assert!(daemon.calls()[0].contains("\"urgent\":false,\"zones\":null"));
}

#[test]
fn a_name_that_is_taken_is_refused() {
    let taken = json!({"current": submission(9)});
    let daemon = FakeDaemon::with_responses(vec![FakeResponse::Json(409, taken)]);
    let run = run_with_daemons(&[daemon.address], &SUBMIT);
    assert_eq!(run.exit, ExitKind::Refused);
    let expected = "refused: job patterns already exists, submitted by customer tailors \
        with different content\n";
    assert!(run.err.starts_with(expected), "{}", run.err);
}

#[test_case(FakeResponse::Json(200, running_job()), ExitKind::Done; "the job was submitted")]
#[test_case(FakeResponse::Json(200, json!({"submission": submission(9), "cell": 3, "state": "running", "tasks": []})), ExitKind::Refused; "the name was taken")]
#[test_case(FakeResponse::Json(404, json!({"not_run": true, "reason": "no job patterns"})), ExitKind::Unknown; "the job is not there yet")]
#[test_case(FakeResponse::Truncated, ExitKind::Unknown; "the job cannot be read back")]
fn a_submission_with_a_lost_response_is_read_back(read_back: FakeResponse, expected: ExitKind) {
    let daemon = FakeDaemon::with_responses(vec![FakeResponse::Truncated, read_back]);
    let run = run_with_daemons(&[daemon.address], &SUBMIT);
    assert_eq!(run.exit, expected, "{}", run.err);
    assert_eq!(daemon.calls()[1], "GET /v1/jobs/patterns");
}

#[test_case(503, true, ExitKind::NotRun, "not run: the store is unreachable"; "the store is unreachable")]
#[test_case(401, true, ExitKind::Refused, "refused: the store is unreachable"; "no token")]
#[test_case(504, false, ExitKind::Unknown, "unknown outcome: the store is unreachable"; "unknown")]
fn a_refusal_has_its_exit_code(status: u16, not_run: bool, exit: ExitKind, line: &str) {
    let refusal = json!({"not_run": not_run, "reason": "the store is unreachable"});
    let missing = json!({"not_run": true, "reason": "no job patterns"});
    let responses = vec![
        FakeResponse::Json(status, refusal),
        FakeResponse::Json(404, missing),
    ];
    let daemon = FakeDaemon::with_responses(responses);
    let run = run_with_daemons(&[daemon.address], &SUBMIT);
    assert_eq!((run.exit, run.err.lines().next()), (exit, Some(line)));
}

#[test]
fn a_change_that_may_have_been_sent_is_not_sent_to_another_daemon() {
    let missing = json!({"not_run": true, "reason": "no job patterns"});
    let responses = vec![FakeResponse::Truncated, FakeResponse::Json(404, missing)];
    let first = FakeDaemon::with_responses(responses);
    let second = FakeDaemon::with_responses(Vec::new());
    let run = run_with_daemons(&[first.address, second.address], &SUBMIT);
    assert_eq!(run.exit, ExitKind::Unknown);
    assert_eq!(second.calls(), Vec::<String>::new());
}

#[test]
fn a_job_is_cancelled_at_the_first_daemon_that_can_be_reached() {
    let response = FakeResponse::Json(200, job("cancelled", "cancelled", "cancelled"));
    let daemon = FakeDaemon::with_responses(vec![response]);
    let run = run_with_daemons(&[closed_address(), daemon.address], &["cancel", "patterns"]);
    assert_eq!(run.exit, ExitKind::Done);
    let call = format!("POST /v1/jobs/patterns/cancel  Bearer {TOKEN}");
    assert_eq!(daemon.calls(), [call]);
}

#[test_case(job("cancelled", "cancelled", "cancelled"), ExitKind::Done; "the job was cancelled")]
#[test_case(running_job(), ExitKind::Unknown; "the job still runs")]
fn a_cancellation_with_a_lost_response_is_read_back(read_back: Value, expected: ExitKind) {
    let responses = vec![FakeResponse::Truncated, FakeResponse::Json(200, read_back)];
    let daemon = FakeDaemon::with_responses(responses);
    let run = run_with_daemons(&[daemon.address], &["cancel", "patterns"]);
    assert_eq!(run.exit, expected);
}

#[test]
fn a_job_is_watched_until_it_ends() {
    let mut responses = vec![FakeResponse::Json(
        200,
        job("waiting", "waiting", "waiting"),
    )];
    responses.extend((0..5).map(|_| FakeResponse::Truncated));
    responses.push(FakeResponse::Json(200, running_job()));
    responses.extend((0..5).map(|_| FakeResponse::Truncated));
    responses.push(FakeResponse::Json(
        200,
        job("finished", "finished", "finished"),
    ));
    let daemon = FakeDaemon::with_responses(responses);
    let run = run_with_daemons(&[daemon.address], &["watch", "patterns", "--every-ms=1"]);
    assert_eq!(run.exit, ExitKind::Done);
    assert_eq!(
        run.err,
        "patterns: waiting, 0 of 2 finished, 0 running, 0 failed\n\
         patterns: running, 0 of 2 finished, 1 running, 0 failed\n\
         patterns: finished, 2 of 2 finished, 0 running, 0 failed\n"
    );
}

#[test]
fn a_watch_of_a_failed_job_ends_with_exit_code_1() {
    let response = FakeResponse::Json(200, job("failed", "finished", "failed"));
    let daemon = FakeDaemon::with_responses(vec![response]);
    let run = run_with_daemons(&[daemon.address], &["watch", "patterns"]);
    assert_eq!(run.exit, ExitKind::Refused);
}

#[test]
fn a_watch_ends_after_too_many_failed_reads() {
    let responses = (0..6).map(|_| FakeResponse::Truncated).collect();
    let daemon = FakeDaemon::with_responses(responses);
    let run = run_with_daemons(&[daemon.address], &["watch", "patterns", "--every-ms=1"]);
    assert_eq!(run.exit, ExitKind::Unreachable);
    assert_eq!(daemon.calls().len(), 6);
}
