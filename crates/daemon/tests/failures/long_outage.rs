use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::support::TestCluster;
use crate::support::job_body;
use crate::support::job_history;
use crate::support::submit;
use crate::support::wait_all_running;
use crate::support::wait_job_state;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::store::StoreFaults;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

/// With the shortest lease, of 2 s, so that the outage lasts many leases.
const LIMITS: &str = "heartbeat_ms = 100\nsuspect_ms = 1000\nlease_ms = 2000\n";
const HEARTBEAT: Duration = Duration::from_millis(100);
/// The length of the outage in heartbeats.
const OUTAGE_HEARTBEATS: usize = 150;
/// The run time of tasks that end after the outage.
const LONG_MS: u64 = 25_000;
/// The run time of tasks that end during the outage.
const SHORT_MS: u64 = 5_000;

/// The store is unavailable for longer than many leases. Callers must be served at every
/// heartbeat, changes and submissions must be refused as not run, tasks must continue, and
/// those that end during the outage must count once the store is back.
#[test]
fn requests_and_tasks_continue_through_an_outage_of_many_leases() {
    let plan = FleetPlan {
        workers: 2,
        ..FleetPlan::default()
    };
    let (cluster, _links) = TestCluster::start_with_limits("long_outage", plan, LIMITS);
    let operators = cluster.operators();
    submit(operators[0], "long", 4, LONG_MS);
    submit(operators[0], "short", 4, SHORT_MS);
    wait_all_running(operators[0], "long");
    wait_all_running(operators[0], "short");
    for daemon in &cluster.daemons {
        wait_until("a request is answered", || {
            is_served(daemon.callers()).then_some(())
        });
    }

    let store = cluster.fleet.platform().store().service();
    store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let mut refused_changes = 0;
    for heartbeat in 0..OUTAGE_HEARTBEATS {
        for daemon in &cluster.daemons {
            assert!(
                is_served(daemon.callers()),
                "a request was not served at heartbeat {heartbeat} of the outage"
            );
        }
        refused_changes += usize::from(is_change_refused_as_not_run(
            operators[heartbeat % operators.len()],
        ));
        thread::sleep(HEARTBEAT);
    }
    assert_eq!(
        refused_changes, OUTAGE_HEARTBEATS,
        "changes that were refused as not run"
    );
    let body = job_body("outage", 1, 100, 1_000);
    let (status, _) =
        call_json(operators[0], "POST", "/v1/jobs", &body).expect("the daemon responds");
    assert!([503, 504].contains(&status), "{status}");
    assert_eq!(
        job_history(&cluster, "outage").len(),
        0,
        "a task started without a commit"
    );

    store.set_faults(StoreFaults::default());
    for (job, state) in [("short", "finished"), ("long", "finished")] {
        let view = wait_job_state(operators[1], job, state);
        let tasks = view["tasks"]
            .as_array()
            .expect("the view of a job has the array `tasks`");
        assert!(tasks.iter().all(|task| task["attempt"] == 1), "{view}");
        assert_eq!(
            job_history(&cluster, job).len(),
            4,
            "each task of {job} was started once"
        );
    }
    submit(operators[2], "later", 2, 200);
    wait_job_state(operators[2], "later", "finished");
    cluster.assert_no_overlapping_attempts();
}

fn is_served(callers: SocketAddr) -> bool {
    let answer = call(callers, "POST", "/sizing/fit", &[], b"neck 41 cm");
    answer.is_some_and(|answer| answer.status == 200 && answer.body == b"neck 41 cm")
}

fn is_change_refused_as_not_run(operators: SocketAddr) -> bool {
    let change = json!({ "state": "out", "author": "operator-1" });
    let answer = call_json(operators, "POST", "/v1/zones/near-a", &change);
    answer.is_some_and(|(status, refusal)| status == 503 && refusal["not_run"] == true)
}
