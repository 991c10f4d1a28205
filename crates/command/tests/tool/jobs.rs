//! Commands on jobs.

use serde_json::Value;
use serde_json::json;
use test_case::test_case;

use crate::fake_daemon::FakeAnswer;
use crate::fake_daemon::FakeDaemon;
use crate::fake_daemon::closed_address;
use crate::tool_scene::TOKEN;
use crate::tool_scene::run_against;
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
    let daemon = FakeDaemon::answering(vec![FakeAnswer::Whole(200, running_job())]);
    let run = run_against(&[daemon.address], &SUBMIT);
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
    let daemon = FakeDaemon::answering(vec![FakeAnswer::Whole(200, running_job())]);
    run_against(&[daemon.address], &SUBMIT[..7]);
    assert!(daemon.calls()[0].contains("\"urgent\":false,\"zones\":null"));
}

#[test]
fn a_name_that_is_taken_is_refused() {
    let taken = json!({"current": submission(9)});
    let daemon = FakeDaemon::answering(vec![FakeAnswer::Whole(409, taken)]);
    let run = run_against(&[daemon.address], &SUBMIT);
    assert_eq!(run.exit, ExitKind::Refused);
    let expected = "refused: job patterns was submitted before, by customer tailors, \
        with another content\n";
    assert!(run.err.starts_with(expected), "{}", run.err);
}

#[test_case(FakeAnswer::Whole(200, running_job()), ExitKind::Done; "it was submitted")]
#[test_case(FakeAnswer::Whole(200, json!({"submission": submission(9), "cell": 3, "state": "running", "tasks": []})), ExitKind::Refused; "the name was taken")]
#[test_case(FakeAnswer::Whole(404, json!({"not_run": true, "reason": "no job patterns"})), ExitKind::Unknown; "it is not there yet")]
#[test_case(FakeAnswer::Broken, ExitKind::Unknown; "it cannot be read back")]
fn a_lost_answer_to_a_submission_is_settled(read_back: FakeAnswer, expected: ExitKind) {
    let daemon = FakeDaemon::answering(vec![FakeAnswer::Broken, read_back]);
    let run = run_against(&[daemon.address], &SUBMIT);
    assert_eq!(run.exit, expected, "{}", run.err);
    assert_eq!(daemon.calls()[1], "GET /v1/jobs/patterns");
}

#[test_case(503, true, ExitKind::NotRun, "not run: the store is out"; "the store is out")]
#[test_case(401, true, ExitKind::Refused, "refused: the store is out"; "no token")]
#[test_case(504, false, ExitKind::Unknown, "unknown outcome: the store is out"; "unknown")]
fn a_refusal_has_its_exit_code(status: u16, not_run: bool, exit: ExitKind, line: &str) {
    let refusal = json!({"not_run": not_run, "reason": "the store is out"});
    let missing = json!({"not_run": true, "reason": "no job patterns"});
    let answers = vec![
        FakeAnswer::Whole(status, refusal),
        FakeAnswer::Whole(404, missing),
    ];
    let daemon = FakeDaemon::answering(answers);
    let run = run_against(&[daemon.address], &SUBMIT);
    assert_eq!((run.exit, run.err.lines().next()), (exit, Some(line)));
}

#[test]
fn a_change_that_may_have_been_sent_goes_to_no_other_daemon() {
    let missing = json!({"not_run": true, "reason": "no job patterns"});
    let answers = vec![FakeAnswer::Broken, FakeAnswer::Whole(404, missing)];
    let first = FakeDaemon::answering(answers);
    let second = FakeDaemon::answering(Vec::new());
    let run = run_against(&[first.address, second.address], &SUBMIT);
    assert_eq!(run.exit, ExitKind::Unknown);
    assert_eq!(second.calls(), Vec::<String>::new());
}

#[test]
fn a_job_is_cancelled_at_the_first_daemon_that_can_be_reached() {
    let answer = FakeAnswer::Whole(200, job("cancelled", "cancelled", "cancelled"));
    let daemon = FakeDaemon::answering(vec![answer]);
    let run = run_against(&[closed_address(), daemon.address], &["cancel", "patterns"]);
    assert_eq!(run.exit, ExitKind::Done);
    let call = format!("POST /v1/jobs/patterns/cancel  Bearer {TOKEN}");
    assert_eq!(daemon.calls(), [call]);
}

#[test_case(job("cancelled", "cancelled", "cancelled"), ExitKind::Done; "it was cancelled")]
#[test_case(running_job(), ExitKind::Unknown; "it still runs")]
fn a_lost_answer_to_a_cancellation_is_settled(read_back: Value, expected: ExitKind) {
    let answers = vec![FakeAnswer::Broken, FakeAnswer::Whole(200, read_back)];
    let daemon = FakeDaemon::answering(answers);
    let run = run_against(&[daemon.address], &["cancel", "patterns"]);
    assert_eq!(run.exit, expected);
}

#[test]
fn a_job_is_followed_to_its_end() {
    let mut answers = vec![FakeAnswer::Whole(200, job("waiting", "waiting", "waiting"))];
    answers.extend((0..5).map(|_| FakeAnswer::Broken));
    answers.push(FakeAnswer::Whole(200, running_job()));
    answers.extend((0..5).map(|_| FakeAnswer::Broken));
    answers.push(FakeAnswer::Whole(
        200,
        job("finished", "finished", "finished"),
    ));
    let daemon = FakeDaemon::answering(answers);
    let run = run_against(&[daemon.address], &["watch", "patterns", "--every-ms=1"]);
    assert_eq!(run.exit, ExitKind::Done);
    assert_eq!(
        run.err,
        "patterns: waiting, 0 of 2 finished, 0 running, 0 failed\n\
         patterns: running, 0 of 2 finished, 1 running, 0 failed\n\
         patterns: finished, 2 of 2 finished, 0 running, 0 failed\n"
    );
}

#[test]
fn a_job_that_failed_is_told_by_the_exit_code() {
    let answer = FakeAnswer::Whole(200, job("failed", "finished", "failed"));
    let daemon = FakeDaemon::answering(vec![answer]);
    let run = run_against(&[daemon.address], &["watch", "patterns"]);
    assert_eq!(run.exit, ExitKind::Refused);
}

#[test]
fn a_watch_ends_when_the_daemon_stays_away() {
    let answers = (0..6).map(|_| FakeAnswer::Broken).collect();
    let daemon = FakeDaemon::answering(answers);
    let run = run_against(&[daemon.address], &["watch", "patterns", "--every-ms=1"]);
    assert_eq!(run.exit, ExitKind::Unreachable);
    assert_eq!(daemon.calls().len(), 6);
}
