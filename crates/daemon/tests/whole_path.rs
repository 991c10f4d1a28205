//! Three daemons as real processes: a request, a job and a change of the
//! configuration, each from start to end.

use serde_json::Value;

use std::net::SocketAddr;

use sapphirestile_command::ExitKind;
use sapphirestile_command::ToolEnvironment;
use sapphirestile_command::run_tool;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::TOKEN;
use sapphirestile_test_support::TestCluster;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const DAEMON: &str = env!("CARGO_BIN_EXE_sapphirestiled");
const FOLDER: &str = concat!(env!("CARGO_TARGET_TMPDIR"), "/whole_path");

#[test]
fn a_request_a_job_and_a_change_reach_their_ends() {
    let plan = FleetPlan {
        runners: 2,
        workers: 4,
        ..FleetPlan::default()
    };
    let scene = TestCluster::start(DAEMON, FOLDER, plan);
    let first = scene.start_daemon("entry-1", "near-a", &[]);
    let second = scene.start_daemon("entry-2", "near-b", &[first.peers()]);
    let third = scene.start_daemon("entry-3", "far-c", &[first.peers()]);
    let operators = [first.operators(), second.operators(), third.operators()];

    // A change made at one daemon is in force at each of them.
    let revision = scene.put_document(operators[0]);
    for address in operators {
        wait_until("the revision is in force", || {
            let (_, status) = call_json(address, "GET", "/v1/status", &Value::Null)?;
            (status["revision"] == revision).then_some(())
        });
    }
    scene.wait_until_owned(&operators, 1);

    // Each daemon gives each caller the whole answer to its own request.
    for (place, daemon) in [&first, &second, &third].into_iter().enumerate() {
        let body = format!("chest {place} cm");
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

    // A job submitted at one daemon with the tool is seen finished from another.
    let submitted = run(
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
    assert_eq!(submitted.0, ExitKind::Done, "{}", submitted.1);
    let view = wait_until("the job is finished", || {
        let (exit, shown) = run(operators[2], &["--json", "show", "patterns"]);
        let view: Value = serde_json::from_str(&shown).ok()?;
        (exit == ExitKind::Done && view["state"] == "finished").then_some(view)
    });
    let attempts: Vec<u64> = view["tasks"]
        .as_array()
        .expect("a view has tasks")
        .iter()
        .filter_map(|task| task["attempt"].as_u64())
        .collect();
    assert_eq!(attempts, [1, 1, 1, 1, 1]);
    let history = scene
        .platform()
        .workers()
        .iter()
        .map(|worker| worker.service().history().len());
    assert_eq!(history.sum::<usize>(), 5, "each task ran once");

    for daemon in [first, second, third] {
        assert!(daemon.stop().success(), "a planned stop ends in time");
    }
}

/// Runs the command-line tool; how it ended and what it wrote.
fn run(operators: SocketAddr, command: &[&str]) -> (ExitKind, String) {
    let daemon = operators.to_string();
    let mut arguments = vec!["--daemon", daemon.as_str()];
    arguments.extend_from_slice(command);
    let token = Some(TOKEN.to_owned());
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = run_tool(
        arguments.as_slice(),
        &ToolEnvironment { token },
        &mut out,
        &mut err,
    );
    let written = if out.is_empty() { err } else { out };
    (exit, String::from_utf8_lossy(&written).into_owned())
}
