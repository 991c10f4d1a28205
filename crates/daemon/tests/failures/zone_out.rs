use serde_json::Value;
use serde_json::json;

use crate::support::TestCluster;
use crate::support::job_view;
use crate::support::submit;
use crate::support::wait_all_running;
use crate::support::wait_job_state;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

/// A zone is taken out of service while tasks run in it. The tasks must continue in other
/// zones from their checkpoints, and no task must start in the zone until it is back.
#[test]
fn no_task_starts_in_a_zone_that_is_out() {
    let plan = FleetPlan {
        workers: 2,
        ..FleetPlan::default()
    };
    let cluster = TestCluster::start("zone_out", plan);
    let operators = cluster.operators();
    submit(operators[0], "patterns", 12, 5_000);
    wait_all_running(operators[0], "patterns");

    let change = json!({ "state": "out", "author": "operator-1" });
    let (status, accepted) = call_json(operators[1], "POST", "/v1/zones/near-a", &change)
        .expect("the daemon responds to the change");
    assert_eq!(status, 200, "{accepted}");
    for address in &operators {
        wait_until("the revision is in force", || {
            let (_, shown) = call_json(*address, "GET", "/v1/status", &Value::Null)?;
            (shown["revision"] == accepted["revision"]).then_some(())
        });
    }
    wait_until("no task is assigned to the zone", || {
        let view = job_view(operators[0], "patterns")?;
        let tasks = view["tasks"].as_array()?.clone();
        let inside = |task: &Value| {
            let worker = task["worker"].as_str().unwrap_or_default().to_owned();
            worker.starts_with("worker-near-a")
        };
        (!tasks.iter().any(inside)).then_some(())
    });
    let attempts_before = attempts_in_near_a(&cluster);
    submit(operators[2], "later", 12, 200);
    wait_job_state(operators[0], "later", "finished");
    wait_job_state(operators[0], "patterns", "finished");
    assert_eq!(
        attempts_in_near_a(&cluster),
        attempts_before,
        "a task started in the zone"
    );
    cluster.assert_no_overlapping_attempts();

    let change = json!({ "state": "in", "author": "operator-1" });
    let (status, _) = call_json(operators[1], "POST", "/v1/zones/near-a", &change)
        .expect("the daemon responds to the change");
    assert_eq!(status, 200);
    submit(operators[0], "returned", 24, 2_000);
    wait_job_state(operators[0], "returned", "finished");
    assert!(
        attempts_in_near_a(&cluster) > attempts_before,
        "no task started after the zone was back"
    );
}

/// The number of attempts that the workers of zone near-a have started.
fn attempts_in_near_a(cluster: &TestCluster) -> usize {
    let workers = cluster.fleet.platform().workers();
    // The fleet creates its workers zone by zone, two in each.
    workers[..2]
        .iter()
        .map(|worker| worker.service().history().len())
        .sum()
}
