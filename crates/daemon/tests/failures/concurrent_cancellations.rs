use std::thread;

use serde_json::Value;

use crate::support::TestCluster;
use crate::support::job_body;
use crate::support::job_history;
use crate::support::submit_job;
use crate::support::wait_all_running;
use crate::support::wait_job_state;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

/// The size of a task in milli-cores: four fit on a worker, and twelve on the fleet.
const TASK_MILLI: u64 = 16_000;
const CANCELLED_JOBS: usize = 24;
const KEPT_JOBS: usize = 4;
const LONG_MS: u64 = 600_000;
const SHORT_MS: u64 = 300;

/// 24 jobs fill the whole fleet and are cancelled concurrently, each at all three daemons.
/// Their running tasks must be stopped, their waiting tasks must never start, other jobs
/// must run, and afterwards a job that needs the whole fleet must run.
#[test]
fn cancelling_many_jobs_concurrently_frees_their_capacity() {
    let cluster = TestCluster::start("concurrent_cancellations", FleetPlan::default());
    let operators = cluster.operators();
    let names: Vec<String> = (0..CANCELLED_JOBS)
        .map(|index| format!("burst-{index}"))
        .collect();
    for name in &names {
        submit_job(operators[0], &job_body(name, 2, LONG_MS, TASK_MILLI));
    }
    wait_until("twelve tasks have started", || {
        (cluster.history().len() == 12).then_some(())
    });
    for index in 0..KEPT_JOBS {
        submit_job(
            operators[1],
            &job_body(&format!("kept-{index}"), 2, SHORT_MS, TASK_MILLI),
        );
    }
    thread::scope(|scope| {
        for address in &operators {
            for name in &names {
                scope.spawn(move || cancel(*address, name));
            }
        }
    });
    for name in &names {
        wait_job_state(operators[2], name, "cancelled");
    }
    let started: usize = names
        .iter()
        .map(|name| job_history(&cluster, name).len())
        .sum();
    for index in 0..KEPT_JOBS {
        wait_job_state(operators[0], &format!("kept-{index}"), "finished");
    }
    submit_job(operators[0], &job_body("whole", 12, 4_000, TASK_MILLI));
    wait_all_running(operators[0], "whole");
    for name in &names {
        let attempts = job_history(&cluster, name);
        assert!(
            attempts.iter().all(|row| row.ended_ms.is_some()),
            "{attempts:?}"
        );
    }
    let started_later: usize = names
        .iter()
        .map(|name| job_history(&cluster, name).len())
        .sum();
    assert_eq!(
        started_later, started,
        "a task was started after its job was cancelled"
    );
    wait_job_state(operators[0], "whole", "finished");
    cluster.assert_no_overlapping_attempts();
}

fn cancel(operators: std::net::SocketAddr, job: &str) {
    let path = format!("/v1/jobs/{job}/cancel");
    wait_until("the cancellation is accepted", || {
        call_json(operators, "POST", &path, &Value::Null).filter(|(status, _)| *status == 200)
    });
}
