use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::store::StoreFaults;
use sapphirestile_test_support::call_json;
use serde_json::Value;
use serde_json::json;

use crate::support::TestCluster;
use crate::support::submit;
use crate::support::wait_job_state;

const ROUNDS: u64 = 14;
/// The time from the start of a change to the submission in the first round. A change reads
/// the slow store twice before it writes, so the submission must start later to meet the
/// write.
const FIRST_DELAY: Duration = Duration::from_millis(160);
/// The time by which the submission follows later in each round.
const DELAY_STEP: Duration = Duration::from_millis(20);

/// The document changes while batches wait for a slow store, a little earlier in each round,
/// so that some change is written between the decision on a batch and its commit. Starts
/// that were decided with the older document must be withdrawn, and the cell must keep
/// starting tasks without a further change.
#[test]
fn document_changes_do_not_stop_a_cell() {
    let plan = FleetPlan {
        workers: 2,
        ..FleetPlan::default()
    };
    let cluster = TestCluster::start("document_changes", plan);
    let operators = cluster.operators();
    cluster
        .fleet
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
            thread::sleep(
                FIRST_DELAY + DELAY_STEP * u32::try_from(round).expect("there are 14 rounds"),
            );
            submit(operators[0], &job, 2, 100);
        });
        wait_job_state(operators[0], &job, "finished");
    }
    let outdated: u64 = operators
        .iter()
        .map(|address| outdated_commits(*address))
        .sum();
    assert!(
        outdated > 0,
        "no change was written between a batch and its commit"
    );
    cluster.assert_no_overlapping_attempts();
}

fn change_zone(operators: SocketAddr, round: u64) {
    let state = if round.is_multiple_of(2) { "out" } else { "in" };
    let change = json!({ "state": state, "author": "operator-1" });
    let (status, answer) = call_json(operators, "POST", "/v1/zones/far-c", &change)
        .expect("the daemon responds to the change");
    assert_eq!(status, 200, "{answer}");
}

/// The number of a daemon's batches whose commit failed because the document had changed.
fn outdated_commits(operators: SocketAddr) -> u64 {
    let (_, dump) = call_json(operators, "GET", "/v1/dump", &Value::Null)
        .expect("the daemon responds with a dump");
    let cells = dump["cells"].as_array().cloned().unwrap_or_default();
    cells
        .iter()
        .filter_map(|cell| cell["beaten"].as_u64())
        .sum()
}
