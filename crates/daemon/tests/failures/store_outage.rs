use serde_json::Value;
use serde_json::json;

use crate::support::TestCluster;
use crate::support::submit;
use crate::support::wait_all_running;
use crate::support::wait_job_state;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::store::StoreFaults;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

/// The store is unavailable for some time. Requests must still be served, running tasks must
/// continue, and changes must be refused as not run. Once the store is back, the tasks must
/// finish and a new job must run.
#[test]
fn requests_and_running_tasks_continue_without_the_store() {
    let plan = FleetPlan {
        runners: 2,
        workers: 3,
        ..FleetPlan::default()
    };
    let cluster = TestCluster::start("store_outage", plan);
    let first = &cluster.daemons[0];
    submit(first.operators(), "patterns", 4, 12_000);
    wait_all_running(first.operators(), "patterns");
    wait_until("a request is answered", || {
        call(first.callers(), "POST", "/sizing/fit", &[], b"neck 41 cm")
            .filter(|answer| answer.status == 200)
    });

    let store = cluster.fleet.platform().store().service();
    store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    for address in cluster.operators() {
        wait_until("the daemon reports that the store is unreachable", || {
            let (_, status) = call_json(address, "GET", "/v1/status", &Value::Null)?;
            (status["store_reachable"] == false).then_some(())
        });
    }
    for daemon in &cluster.daemons {
        for _ in 0..10 {
            wait_until("a request is answered without the store", || {
                call(daemon.callers(), "POST", "/sizing/fit", &[], b"neck 41 cm")
                    .filter(|answer| answer.status == 200)
            });
        }
    }
    let change = json!({ "state": "out", "author": "operator-1" });
    let (status, refusal) = call_json(first.operators(), "POST", "/v1/zones/near-a", &change)
        .expect("the daemon responds");
    assert_eq!(
        (status, &refusal["not_run"]),
        (503, &json!(true)),
        "{refusal}"
    );

    store.set_faults(StoreFaults::default());
    let view = wait_job_state(first.operators(), "patterns", "finished");
    let tasks = view["tasks"]
        .as_array()
        .expect("the view of a job has the array `tasks`");
    assert!(tasks.iter().all(|task| task["attempt"] == 1), "{view}");
    cluster.assert_no_overlapping_attempts();
    submit(first.operators(), "later", 2, 200);
    wait_job_state(first.operators(), "later", "finished");
}
