use serde_json::Value;

use crate::support::TestCluster;
use crate::support::job_body;
use crate::support::job_history;
use crate::support::submit_job;
use crate::support::wait_all_running;
use crate::support::wait_job_state;
use sapphirestile_core::ResourceSize;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::worker::WorkerFaults;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

/// A size in milli-cores of which four fit on a worker.
const LARGE_MILLI: u64 = 16_000;
/// An eighth of it.
const SMALL_MILLI: u64 = 2_000;
/// A size between the two that tells whether the learnt size was used, however it is rounded.
const THRESHOLD_MILLI: u64 = 8_000;
/// The declared run time of a task.
const RUN_MS: u64 = 2_000;
/// The actual run time in thousandths of the declared one.
const RUN_PERMILLE: u64 = 3_000;

/// Tasks use an eighth of the size that they declare and run three times as long. Once the
/// scheduler has learnt that, three times as many must run at the same time, and every task
/// must finish once.
#[test]
fn more_tasks_run_at_once_when_they_declare_too_much() {
    let cluster = start_cluster("declared_too_much", SMALL_MILLI);
    let operators = cluster.operators()[0];
    submit_job(operators, &job_body("first", 12, RUN_MS, LARGE_MILLI));
    wait_job_state(operators, "first", "finished");
    submit_job(operators, &job_body("second", 36, 2 * RUN_MS, LARGE_MILLI));
    wait_all_running(operators, "second");
    assert_finished_once(&cluster, "second", 36);
}

/// Tasks use eight times the size that they declare. Once the scheduler has learnt that, they
/// must be given more, so that fewer of them share a worker.
#[test]
fn fewer_tasks_run_at_once_when_they_declare_too_little() {
    let cluster = start_cluster("declared_too_little", LARGE_MILLI);
    let operators = cluster.operators()[0];
    submit_job(operators, &job_body("first", 12, RUN_MS, SMALL_MILLI));
    wait_job_state(operators, "first", "finished");
    submit_job(operators, &job_body("second", 24, RUN_MS, SMALL_MILLI));
    let given_sizes = wait_until("tasks of the second job are assigned", || {
        let given_sizes = assigned_milli(&cluster, "second");
        (!given_sizes.is_empty()).then_some(given_sizes)
    });
    assert!(
        given_sizes.iter().all(|milli| *milli > THRESHOLD_MILLI),
        "{given_sizes:?}"
    );
    assert!(
        given_sizes.len() <= 12,
        "more tasks were assigned than fit with their actual size: {given_sizes:?}"
    );
    assert_finished_once(&cluster, "second", 24);
}

fn assert_finished_once(cluster: &TestCluster, job: &str, tasks: usize) {
    wait_job_state(cluster.operators()[0], job, "finished");
    assert_eq!(
        job_history(cluster, job).len(),
        tasks,
        "every task was started exactly once"
    );
    cluster.assert_no_overlapping_attempts();
}

/// Starts a cluster whose tasks use `actual_milli` milli-cores and run three times as long as
/// declared.
fn start_cluster(name: &str, actual_milli: u64) -> TestCluster {
    let cluster = TestCluster::start(name, FleetPlan::default());
    for worker in cluster.fleet.platform().workers() {
        worker.service().set_faults(WorkerFaults {
            used_size: Some(ResourceSize {
                cpu_milli: actual_milli,
                memory_mb: 512,
                accelerators: 0,
            }),
            run_permille: Some(RUN_PERMILLE),
            ..WorkerFaults::default()
        });
    }
    cluster
}

/// The sizes in milli-cores that the owner gives to the assigned tasks of a job.
fn assigned_milli(cluster: &TestCluster, job: &str) -> Vec<u64> {
    let owner = cluster.operators()[cluster.owner_index(job)];
    let dump = call_json(owner, "GET", "/v1/dump", &Value::Null);
    let tasks = dump.map_or(Value::Null, |(_, dump)| {
        dump["cells"][0]["state"]["tasks"].clone()
    });
    let rows = tasks.as_array().cloned().unwrap_or_default();
    rows.iter()
        .filter(|row| row[0]["job"] == job)
        .filter_map(|row| row[1]["Assigned"]["phase"]["size"]["cpu_milli"].as_u64())
        .collect()
}
