use serde_json::Value;
use serde_json::json;

use crate::support::Stage;
use crate::support::submit;
use crate::support::wait_job;
use crate::support::wait_running;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::store::StoreFaults;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

/// The store is away: requests are served on, running tasks run on, changes are
/// refused as not run; when it is back, all goes on.
#[test]
fn requests_and_running_tasks_outlast_the_store() {
    let plan = FleetPlan {
        runners: 2,
        workers: 3,
        ..FleetPlan::default()
    };
    let stage = Stage::set("store_outage", plan);
    let first = &stage.daemons[0];
    submit(first.operators(), "patterns", 4, 12_000);
    wait_running(first.operators(), "patterns");
    wait_until("a request is answered", || {
        call(first.callers(), "POST", "/sizing/fit", &[], b"neck 41 cm")
            .filter(|answer| answer.status == 200)
    });

    let store = stage.scene.platform().store().service();
    store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    for address in stage.operators() {
        wait_until("the daemon knows that the store is away", || {
            let (_, status) = call_json(address, "GET", "/v1/status", &Value::Null)?;
            (status["store_reachable"] == false).then_some(())
        });
    }
    for daemon in &stage.daemons {
        for _ in 0..10 {
            wait_until("a request is answered without the store", || {
                call(daemon.callers(), "POST", "/sizing/fit", &[], b"neck 41 cm")
                    .filter(|answer| answer.status == 200)
            });
        }
    }
    let change = json!({ "state": "out", "author": "operator-1" });
    let (status, refusal) = call_json(first.operators(), "POST", "/v1/zones/near-a", &change)
        .expect("a refusal is an answer");
    assert_eq!(
        (status, &refusal["not_run"]),
        (503, &json!(true)),
        "{refusal}"
    );

    store.set_faults(StoreFaults::default());
    let view = wait_job(first.operators(), "patterns", "finished");
    let tasks = view["tasks"].as_array().expect("a view has tasks");
    assert!(tasks.iter().all(|task| task["attempt"] == 1), "{view}");
    stage.assert_never_twice();
    submit(first.operators(), "later", 2, 200);
    wait_job(first.operators(), "later", "finished");
}
