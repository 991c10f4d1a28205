use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::store::StoreFaults;
use sapphirestile_test_support::call_json;
use serde_json::Value;
use serde_json::json;

use crate::support::Stage;
use crate::support::submit;
use crate::support::wait_job;

const ROUNDS: u64 = 14;
/// A change reads twice before it writes, so its write comes late.
const FIRST: Duration = Duration::from_millis(160);
const STEP: Duration = Duration::from_millis(20);

/// The document changes while batches are on their way to a slow store, a little
/// earlier in each round, so that some change comes between a batch and its commit:
/// starts that were made with the older one are taken back, and the cell goes on
/// starting tasks without another change.
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
    for round in 0..ROUNDS {
        let job = format!("job-{round}");
        thread::scope(|scope| {
            scope.spawn(|| change_zone(operators[1], round));
            thread::sleep(FIRST + STEP * u32::try_from(round).expect("rounds are few"));
            submit(operators[0], &job, 2, 100);
        });
        wait_job(operators[0], &job, "finished");
    }
    let moved: u64 = operators
        .iter()
        .map(|address| batches_beaten(*address))
        .sum();
    assert!(moved > 0, "no change came between a batch and its commit");
    stage.assert_never_twice();
}

fn change_zone(operators: SocketAddr, round: u64) {
    let wanted = if round.is_multiple_of(2) { "out" } else { "in" };
    let change = json!({ "state": wanted, "author": "operator-1" });
    let (status, answer) =
        call_json(operators, "POST", "/v1/zones/far-c", &change).expect("the change is answered");
    assert_eq!(status, 200, "{answer}");
}

/// How many batches of a daemon were beaten by a change of the document.
fn batches_beaten(operators: SocketAddr) -> u64 {
    let (_, dump) = call_json(operators, "GET", "/v1/dump", &Value::Null).expect("a dump");
    let cells = dump["cells"].as_array().cloned().unwrap_or_default();
    cells
        .iter()
        .filter_map(|cell| cell["beaten"].as_u64())
        .sum()
}
