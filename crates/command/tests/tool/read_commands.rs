//! Commands that only read.

use std::net::TcpListener;

use serde_json::Value;
use serde_json::json;
use test_case::test_case;

use crate::fake_daemon::FakeDaemon;
use crate::fake_daemon::FakeResponse;
use crate::fake_daemon::closed_address;
use crate::tool_run::run_with_daemons;
use sapphirestile_command::ExitKind;

const STATUS_TEXT: &str = "\
daemon       hki-1
incarnation  3
zone         rannikko-hki
phase        serving
revision     7
store        reachable
cells        0 (epoch 4), 3 (epoch 9)

MEMBER  INCARNATION  ADDRESS         SILENT
tku-1   2            127.0.0.2:7071  120 ms

WORKER  SLOWDOWN         REQUESTS  DAEMONS  THROTTLED
w1      310 thousandths  420       3        2
";
const ZONES_TEXT: &str = "\
ZONE          REGION    STATE
rannikko-hki  rannikko  in
rannikko-tku  rannikko  out
";
const SERVICES_TEXT: &str = "\
SERVICE        RUNNERS  TOKENS  IN FLIGHT
koon-mitoitus  48       56      12
";
const QUEUES_TEXT: &str = "\
CELL  WAITING  RUNNING  THROTTLED
0     5        140      2
";
const JOBS_TEXT: &str = "\
JOB       CUSTOMER  CELL  STATE    URGENT  TASKS  RUNNING  FINISHED  FAILED
patterns  tailors   3     running  no      3      1        2         0
";
const VMS_TEXT: &str = "\
VM  KIND    ADDRESS         ZONE          RACK  SERVICE        WORKER  STATE
w1  worker  127.0.0.9:9000  rannikko-hki  k1    -              -       live
r1  runner  127.0.0.9:9001  rannikko-hki  -     koon-mitoitus  w1      leaving
read 900 ms ago
";
const EXPLAIN_TEXT: &str = "\
patterns/1
  waits: no worker of cell 3 has 64000 thousandths of a core free
  \\u{1b}[2J
";

fn status() -> Value {
    json!({
        "daemon": "hki-1", "incarnation": 3, "zone": "rannikko-hki", "phase": "serving",
        "revision": 7, "store_reachable": true,
        "cells": [{"cell": 0, "epoch": 4}, {"cell": 3, "epoch": 9}],
        "members": [{"daemon": "tku-1", "incarnation": 2, "address": "127.0.0.2:7071",
            "silent_ms": 120}],
        "zones": [{"zone": "rannikko-hki", "region": "rannikko", "state": "in"},
            {"zone": "rannikko-tku", "region": "rannikko", "state": "out"}],
        "services": [{"service": "koon-mitoitus", "runners": 48, "tokens": 56, "in_flight": 12}],
        "queues": [{"cell": 0, "waiting": 5, "running": 140, "throttled": 2}],
        "pressures": [{"worker": "w1", "slowdown_permille": 310, "requests": 420,
            "daemons": 3, "throttled": 2}],
    })
}

fn jobs() -> Value {
    json!([{"job": "patterns", "customer": "tailors", "cell": 3, "state": "running",
        "urgent": false, "tasks": 3, "running": 1, "finished": 2, "failed": 0}])
}

fn vms() -> Value {
    json!({"age_ms": 900, "vms": [
        {"name": "w1", "kind": "worker", "address": "127.0.0.9:9000", "zone": "rannikko-hki",
            "rack": "k1", "state": "live"},
        {"name": "r1", "kind": "runner", "address": "127.0.0.9:9001", "zone": "rannikko-hki",
            "service": "koon-mitoitus", "worker": "w1", "state": "leaving"},
    ]})
}

fn explanation() -> Value {
    json!({"subject": "patterns/1", "lines": [
        "waits: no worker of cell 3 has 64000 thousandths of a core free", "\u{1b}[2J",
    ]})
}

#[test_case(&["status"], status(), "/v1/status", STATUS_TEXT; "status")]
#[test_case(&["zones"], status(), "/v1/status", ZONES_TEXT; "zones")]
#[test_case(&["services"], status(), "/v1/status", SERVICES_TEXT; "services")]
#[test_case(&["queues"], status(), "/v1/status", QUEUES_TEXT; "queues")]
#[test_case(&["vms"], vms(), "/v1/vms", VMS_TEXT; "vms")]
#[test_case(&["list"], jobs(), "/v1/jobs", JOBS_TEXT; "jobs")]
#[test_case(&["dump"], json!({"cells": [1]}), "/v1/dump", "{\n  \"cells\": [\n    1\n  ]\n}\n"; "dump")]
#[test_case(&["explain", "patterns", "1"], explanation(), "/v1/explain/patterns/1", EXPLAIN_TEXT; "a task explained")]
#[test_case(&["explain", "patterns"], explanation(), "/v1/explain/patterns", EXPLAIN_TEXT; "a job explained")]
fn a_view_is_shown_as_a_table(arguments: &[&str], body: Value, path: &str, expected: &str) {
    let daemon = FakeDaemon::with_responses(vec![FakeResponse::Json(200, body)]);
    let run = run_with_daemons(&[daemon.address], arguments);
    assert_eq!((run.out.as_str(), run.err.as_str()), (expected, ""));
    assert_eq!(run.exit, ExitKind::Done);
    assert_eq!(daemon.calls(), [format!("GET {path}")]);
}

#[test]
fn cells_without_workers_are_shown() {
    let mut body = status();
    body["empty_cells"] = json!([2, 5]);
    let daemon = FakeDaemon::with_responses(vec![FakeResponse::Json(200, body)]);
    let run = run_with_daemons(&[daemon.address], &["status"]);
    let mut lines = run.out.lines();
    let line = lines.find(|line| line.starts_with("without workers"));
    let words = line.map(|line| line.split_whitespace().collect::<Vec<_>>());
    assert_eq!(words.unwrap(), ["without", "workers", "cells", "2,", "5"]);
}

#[test_case(&["--json", "status"], status(), &status(); "status")]
#[test_case(&["--json", "zones"], status(), &status()["zones"]; "zones")]
#[test_case(&["--json", "services"], status(), &status()["services"]; "services")]
#[test_case(&["--json", "queues"], status(), &status()["queues"]; "queues")]
#[test_case(&["--json", "list"], jobs(), &jobs(); "jobs")]
#[test_case(&["--json", "explain", "patterns"], explanation(), &explanation(); "an explanation")]
fn a_view_is_written_as_json(arguments: &[&str], body: Value, expected: &Value) {
    let daemon = FakeDaemon::with_responses(vec![FakeResponse::Json(200, body)]);
    let run = run_with_daemons(&[daemon.address], arguments);
    assert_eq!(serde_json::from_str::<Value>(&run.out).unwrap(), *expected);
}

#[test]
fn a_document_is_shown_below_a_line_with_its_revision() {
    let view = json!({"revision": 7, "text": "[region r]\nlink_mbit = 1\n", "author": "maija",
        "changed_unix_ms": 1_796_379_780_000_u64});
    let daemon = FakeDaemon::with_responses(vec![FakeResponse::Json(200, view)]);
    let run = run_with_daemons(&[daemon.address], &["document", "show"]);
    assert_eq!(run.out, "; revision 7\n[region r]\nlink_mbit = 1\n");
    assert_eq!(run.err, "changed by maija at 2026-12-04 10:23:00 UTC\n");
}

#[test]
fn an_unreachable_daemon_is_reported_with_step_and_address() {
    let address = closed_address();
    let run = run_with_daemons(&[address], &["status"]);
    assert_eq!(run.exit, ExitKind::Unreachable);
    assert_eq!(
        run.err,
        format!(
            "unreachable: no daemon gave a valid response; nothing was changed\n  call at {address}\n  \
             Connection refused (os error 111)\n"
        )
    );
}

#[test]
fn a_daemon_at_an_ipv6_address_is_called() {
    let daemon = FakeDaemon::with_responses_at("[::1]:0", vec![FakeResponse::Json(200, jobs())]);
    let run = run_with_daemons(&[daemon.address], &["list"]);
    assert_eq!((run.out.as_str(), run.exit), (JOBS_TEXT, ExitKind::Done));
    assert_eq!(daemon.calls(), ["GET /v1/jobs"]);
}

// Browsers refuse to connect to these ports; the tool must accept every port.
#[test_case(6_000; "port of a display server")]
#[test_case(10_080; "port of a backup server")]
fn a_port_that_browsers_block_is_called(port: u16) {
    // The port is fixed, so each run needs a host that no other test uses. The number of a
    // port that is reserved for the duration of the test gives its last two bytes.
    let reservation = TcpListener::bind("127.0.0.1:0").unwrap();
    let [high, low] = reservation.local_addr().unwrap().port().to_be_bytes();
    let address = format!("127.98.{high}.{low}:{port}");
    let daemon = FakeDaemon::with_responses_at(&address, vec![FakeResponse::Json(200, jobs())]);
    let run = run_with_daemons(&[daemon.address], &["list"]);
    assert_eq!((run.out.as_str(), run.exit), (JOBS_TEXT, ExitKind::Done));
}

#[test]
fn a_read_is_retried_at_the_next_daemon() {
    let unreachable = closed_address();
    let truncating = FakeDaemon::with_responses(vec![FakeResponse::Truncated]);
    let refusal = json!({"not_run": true, "reason": "starting"});
    let starting = FakeDaemon::with_responses(vec![FakeResponse::Json(503, refusal)]);
    let serving = FakeDaemon::with_responses(vec![FakeResponse::Json(200, jobs())]);
    let daemons = [
        unreachable,
        truncating.address,
        starting.address,
        serving.address,
    ];
    let run = run_with_daemons(&daemons, &["list"]);
    assert_eq!((run.out.as_str(), run.exit), (JOBS_TEXT, ExitKind::Done));
}

#[test]
fn an_unknown_job_is_refused() {
    let refusal = json!({"not_run": true, "reason": "no job patterns"});
    let daemon = FakeDaemon::with_responses(vec![FakeResponse::Json(404, refusal)]);
    let run = run_with_daemons(&[daemon.address], &["show", "patterns"]);
    assert_eq!(run.exit, ExitKind::Refused);
    assert!(
        run.err.starts_with("refused: no job patterns\n"),
        "{}",
        run.err
    );
}
