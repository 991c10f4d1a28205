use serde_json::Value;
use serde_json::json;

use crate::support::TestCluster;
use crate::support::submit;
use crate::support::wait_job_state;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::store::StoreFaults;
use sapphirestile_test_support::call_json;

/// The store applies commits but their responses are lost. Writers must find out by reading
/// whether their commits were applied; nothing must be done twice, and no caller must be
/// told that nothing was done.
#[test]
fn lost_store_responses_are_resolved_by_reading() {
    let plan = FleetPlan {
        workers: 3,
        ..FleetPlan::default()
    };
    let cluster = TestCluster::start("lost_answers", plan);
    let operators = cluster.operators();
    let lose_answers = |count: u64| {
        let store = cluster.fleet.platform().store().service();
        store.set_faults(StoreFaults {
            lose_answers: count,
            ..StoreFaults::default()
        });
    };

    lose_answers(1);
    let change = json!({ "state": "out", "author": "operator-1" });
    let (status, answer) = call_json(operators[0], "POST", "/v1/zones/far-c", &change)
        .expect("the daemon responds to the change");
    assert_eq!(status, 200, "{answer}");
    let (_, view) = call_json(operators[0], "GET", "/v1/document", &Value::Null)
        .expect("the daemon responds with the document");
    assert_eq!(view["revision"], answer["revision"]);

    lose_answers(4);
    submit(operators[1], "patterns", 5, 300);
    lose_answers(4);
    let view = wait_job_state(operators[2], "patterns", "finished");
    let tasks = view["tasks"]
        .as_array()
        .expect("the view of a job has the array `tasks`");
    assert!(tasks.iter().all(|task| task["attempt"] == 1), "{view}");
    assert_eq!(cluster.history().len(), 5, "every task ran exactly once");
    cluster.assert_no_overlapping_attempts();
}
