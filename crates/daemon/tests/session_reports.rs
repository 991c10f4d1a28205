//! Tests of sessions with a real daemon, whose workers report in full once and only changes
//! afterwards. Tasks that a report of changes omits must not be taken for lost.

use std::net::SocketAddr;

use serde_json::json;

use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::worker::WorkerFaults;
use sapphirestile_standins::worker::WorkerService;
use sapphirestile_test_support::TestFleet;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const DAEMON: &str = env!("CARGO_BIN_EXE_sapphirestiled");
const FOLDER: &str = concat!(env!("CARGO_TARGET_TMPDIR"), "/session_reports");
const JOB_FOLDER: &str = concat!(env!("CARGO_TARGET_TMPDIR"), "/session_reports_job");
const LONG_MS: u64 = 600_000;

/// Waits for two more sessions that are answered with a report of changes.
fn wait_for_change_reports(worker: &WorkerService) {
    let before = worker.session_counts().incremental;
    wait_until("two more reports of changes", || {
        (worker.session_counts().incremental >= before + 2).then_some(())
    });
}

#[test]
fn a_worker_sends_one_full_report_after_each_start() {
    let plan = FleetPlan {
        runners: 1,
        workers: 1,
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(DAEMON, FOLDER, plan);
    let daemon = fleet.start_daemon("entry-1", "near-a", &[]);
    fleet.put_document(daemon.operators());
    fleet.wait_until_owned(&[daemon.operators()], 1);
    let worker = fleet.platform().workers()[0].service();
    wait_for_change_reports(worker);
    assert_eq!(worker.session_counts().full, 1);

    worker.set_faults(WorkerFaults {
        lose_answers: 1,
        ..WorkerFaults::default()
    });
    wait_for_change_reports(worker);
    assert_eq!(worker.session_counts().full, 1);

    worker.restart();
    wait_for_change_reports(worker);
    assert_eq!(worker.session_counts().full, 2);
}

#[test]
fn tasks_omitted_from_reports_of_changes_keep_running() {
    let plan = FleetPlan {
        workers: 1,
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(DAEMON, JOB_FOLDER, plan);
    let daemon = fleet.start_daemon("entry-1", "near-a", &[]);
    fleet.put_document(daemon.operators());
    fleet.wait_until_owned(&[daemon.operators()], 1);
    submit(daemon.operators(), 3);
    let workers = fleet.platform().workers();
    let attempts = || {
        let lengths = workers
            .iter()
            .map(|worker| worker.service().history().len());
        lengths.collect::<Vec<_>>()
    };
    wait_until("each worker runs a task", || {
        (attempts() == [1, 1, 1]).then_some(())
    });
    for worker in workers {
        wait_for_change_reports(worker.service());
    }
    assert_eq!(attempts(), [1, 1, 1], "no task should have been restarted");

    workers[0].service().restart();
    wait_until("the lost task runs again", || {
        (attempts() == [2, 1, 1]).then_some(())
    });
    for worker in workers {
        wait_for_change_reports(worker.service());
    }
    assert_eq!(attempts(), [2, 1, 1], "the other tasks should keep running");
}

/// Submits a job whose tasks run longer than the test.
fn submit(operators: SocketAddr, tasks: u32) {
    let body = json!({
        "job": "sizes", "customer": "kennels", "tasks": tasks, "run_ms": LONG_MS,
        "size": { "cpu_milli": 1_000, "memory_mb": 512, "accelerators": 0 },
    });
    wait_until("the job is accepted", || {
        call_json(operators, "POST", "/v1/jobs", &body).filter(|(status, _)| *status == 200)
    });
}
