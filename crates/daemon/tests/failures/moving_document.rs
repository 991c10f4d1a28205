use serde_json::json;

use crate::support::Stage;
use crate::support::submit;
use crate::support::wait_job;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::store::StoreFaults;
use sapphirestile_test_support::call_json;

const CHANGES: usize = 10;

/// The document changes while batches are on their way to a slow store: starts
/// that were made with an older one are taken back, and the cell goes on starting
/// tasks without another change.
#[test]
fn a_moving_document_does_not_stop_a_cell() {
    let plan = FleetPlan {
        workers: 2,
        ..FleetPlan::default()
    };
    let stage = Stage::set("moving_document", plan);
    let operators = stage.operators();
    stage
        .scene
        .platform()
        .store()
        .service()
        .set_faults(StoreFaults {
            delay_ms: 120,
            ..StoreFaults::default()
        });
    for number in 0..CHANGES {
        submit(operators[0], &format!("job-{number}"), 2, 100);
        let wanted = if number % 2 == 0 { "out" } else { "in" };
        let change = json!({ "state": wanted, "author": "operator-1" });
        let (status, answer) = call_json(operators[1], "POST", "/v1/zones/far-c", &change)
            .expect("the change is answered");
        assert_eq!(status, 200, "{answer}");
        wait_job(operators[0], &format!("job-{number}"), "finished");
    }
    stage.assert_never_twice();
}
