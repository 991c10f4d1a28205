use serde_json::Value;
use serde_json::json;

use crate::support::Stage;
use crate::support::submit;
use crate::support::wait_job;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::store::StoreFaults;
use sapphirestile_test_support::call_json;

/// Writes take effect and their answers are lost: the writers find out by
/// reading, nothing is done twice and nobody is told that nothing was done.
#[test]
fn lost_answers_are_settled_by_reading() {
    let plan = FleetPlan {
        workers: 3,
        ..FleetPlan::default()
    };
    let stage = Stage::set("lost_answers", plan);
    let operators = stage.operators();
    let lose = |answers: u64| {
        let store = stage.scene.platform().store().service();
        store.set_faults(StoreFaults {
            lose_answers: answers,
            ..StoreFaults::default()
        });
    };

    lose(1);
    let change = json!({ "state": "out", "author": "operator-1" });
    let (status, answer) = call_json(operators[0], "POST", "/v1/zones/far-c", &change)
        .expect("the change is answered");
    assert_eq!(status, 200, "{answer}");
    let (_, view) = call_json(operators[0], "GET", "/v1/document", &Value::Null)
        .expect("the document is shown");
    assert_eq!(view["revision"], answer["revision"]);

    lose(4);
    submit(operators[1], "patterns", 5, 300);
    lose(4);
    let view = wait_job(operators[2], "patterns", "finished");
    let tasks = view["tasks"].as_array().expect("a view has tasks");
    assert!(tasks.iter().all(|task| task["attempt"] == 1), "{view}");
    assert_eq!(stage.history().len(), 5, "each task ran once");
    stage.assert_never_twice();
}
