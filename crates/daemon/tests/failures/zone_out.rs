use serde_json::Value;
use serde_json::json;

use crate::support::Stage;
use crate::support::show_job;
use crate::support::submit;
use crate::support::wait_job;
use crate::support::wait_running;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

/// A zone is taken out while tasks run in it: they go on elsewhere from their
/// checkpoints, and nothing starts in the zone until it is returned.
#[test]
fn nothing_starts_in_a_zone_that_was_taken_out() {
    let plan = FleetPlan {
        workers: 2,
        ..FleetPlan::default()
    };
    let stage = Stage::set("zone_out", plan);
    let operators = stage.operators();
    submit(operators[0], "patterns", 12, 5_000);
    wait_running(operators[0], "patterns");

    let change = json!({ "state": "out", "author": "operator-1" });
    let (status, accepted) = call_json(operators[1], "POST", "/v1/zones/near-a", &change)
        .expect("the change is answered");
    assert_eq!(status, 200, "{accepted}");
    for address in &operators {
        wait_until("the revision is in force", || {
            let (_, shown) = call_json(*address, "GET", "/v1/status", &Value::Null)?;
            (shown["revision"] == accepted["revision"]).then_some(())
        });
    }
    wait_until("the zone is empty", || {
        let view = show_job(operators[0], "patterns")?;
        let tasks = view["tasks"].as_array()?.clone();
        let inside = |task: &Value| {
            let worker = task["worker"].as_str().unwrap_or_default().to_owned();
            worker.starts_with("worker-near-a")
        };
        (!tasks.iter().any(inside)).then_some(())
    });
    let started = near_a_starts(&stage);
    submit(operators[2], "later", 12, 200);
    wait_job(operators[0], "later", "finished");
    wait_job(operators[0], "patterns", "finished");
    assert_eq!(
        near_a_starts(&stage),
        started,
        "something started in the zone"
    );
    stage.assert_never_twice();

    let change = json!({ "state": "in", "author": "operator-1" });
    let (status, _) = call_json(operators[1], "POST", "/v1/zones/near-a", &change)
        .expect("the change is answered");
    assert_eq!(status, 200);
    submit(operators[0], "returned", 24, 2_000);
    wait_job(operators[0], "returned", "finished");
    assert!(near_a_starts(&stage) > started, "the zone takes work again");
}

/// How many attempts the workers of the zone have started.
fn near_a_starts(stage: &Stage) -> usize {
    let workers = stage.scene.platform().workers();
    // The fleet starts its workers zone by zone, two in each.
    workers[..2]
        .iter()
        .map(|worker| worker.service().history().len())
        .sum()
}
