//! End-to-end test: a change of the configuration, requests and a job on three daemons as real
//! processes with platform stand-ins in the test.

use serde_json::Value;

use std::net::SocketAddr;

use sapphirestile_command::ExitKind;
use sapphirestile_command::ToolEnvironment;
use sapphirestile_command::run_tool;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::TOKEN;
use sapphirestile_test_support::TestFleet;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const DAEMON: &str = env!("CARGO_BIN_EXE_sapphirestiled");
const FOLDER: &str = concat!(env!("CARGO_TARGET_TMPDIR"), "/whole_path");

#[test]
fn a_change_requests_and_a_job_complete() {
    let plan = FleetPlan {
        runners: 2,
        workers: 4,
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(DAEMON, FOLDER, plan);
    let first = fleet.start_daemon("entry-1", "near-a", &[]);
    let second = fleet.start_daemon("entry-2", "near-b", &[first.peers()]);
    let third = fleet.start_daemon("entry-3", "far-c", &[first.peers()]);
    let operators = [first.operators(), second.operators(), third.operators()];

    // A change that is made at one daemon comes into force at every daemon.
    let revision = fleet.put_document(operators[0]);
    for address in operators {
        wait_until("the revision is in force", || {
            let (_, status) = call_json(address, "GET", "/v1/status", &Value::Null)?;
            (status["revision"] == revision).then_some(())
        });
    }
    fleet.wait_until_owned(&operators, 1);

    // Every daemon returns the complete response to the caller's own request.
    for (index, daemon) in [&first, &second, &third].into_iter().enumerate() {
        let body = format!("chest {index} cm");
        let answer = wait_until("a request is answered", || {
            call(
                daemon.callers(),
                "POST",
                "/sizing/fit",
                &[],
                body.as_bytes(),
            )
            .filter(|answer| answer.status == 200)
        });
        assert_eq!(String::from_utf8_lossy(&answer.body), body);
    }

    // A job that is submitted at one daemon with the command-line tool is shown as finished by
    // another daemon.
    let submission = call_tool(
        operators[1],
        &[
            "submit",
            "patterns",
            "--customer",
            "kennels",
            "--tasks",
            "5",
            "--cpu-milli",
            "1000",
            "--memory-mb",
            "512",
            "--run-ms",
            "300",
        ],
    );
    assert_eq!(submission.0, ExitKind::Done, "{}", submission.1);
    let view = wait_until("the job is finished", || {
        let (exit, shown) = call_tool(operators[2], &["--json", "show", "patterns"]);
        let view: Value = serde_json::from_str(&shown).ok()?;
        (exit == ExitKind::Done && view["state"] == "finished").then_some(view)
    });
    let attempts: Vec<u64> = view["tasks"]
        .as_array()
        .expect("the view of a job has the array `tasks`")
        .iter()
        .filter_map(|task| task["attempt"].as_u64())
        .collect();
    assert_eq!(attempts, [1, 1, 1, 1, 1]);
    let history = fleet
        .platform()
        .workers()
        .iter()
        .map(|worker| worker.service().history().len());
    assert_eq!(history.sum::<usize>(), 5, "every task ran exactly once");

    for daemon in [first, second, third] {
        assert!(daemon.stop().success(), "a daemon did not stop in time");
    }
}

/// Runs the command-line tool on a daemon. Returns its exit status, and what it wrote to
/// standard output or, when that is empty, to standard error.
fn call_tool(operators: SocketAddr, command: &[&str]) -> (ExitKind, String) {
    let daemon = operators.to_string();
    let mut arguments = vec!["--daemon", daemon.as_str()];
    arguments.extend_from_slice(command);
    let token = Some(TOKEN.to_owned());
    let (mut stdout, mut stderr) = (Vec::new(), Vec::new());
    let exit = run_tool(
        arguments.as_slice(),
        &ToolEnvironment { token },
        &mut stdout,
        &mut stderr,
    );
    let written = if stdout.is_empty() { stderr } else { stdout };
    (exit, String::from_utf8_lossy(&written).into_owned())
}
