use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::support::TestCluster;
use crate::support::submit;
use crate::support::wait_all_running;
use crate::support::wait_job_state;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::runner::RunnerSettings;
use sapphirestile_test_support::DaemonProcess;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const LIMITS: &str = "heartbeat_ms = 100\nsuspect_ms = 1000\nslowdown_ms = 300\n";
const CALLERS_PER_DAEMON: usize = 3;
const CALL_PAUSE: Duration = Duration::from_millis(5);

/// Starts a cluster with a runner and a worker on each of three machines. Batch tasks slow
/// the requests of the runner on their machine down.
fn start_cluster(name: &str) -> TestCluster {
    let plan = FleetPlan {
        colocated: true,
        runner: RunnerSettings {
            interference_us_per_core: 8_000,
            ..RunnerSettings::default()
        },
        ..FleetPlan::default()
    };
    TestCluster::start_with_limits(name, plan, LIMITS).0
}

/// Calls every daemon until `has_ended`; the responses do not matter.
fn generate_load(callers: &[SocketAddr], has_ended: &AtomicBool) {
    thread::scope(|scope| {
        for address in callers {
            for _ in 0..CALLERS_PER_DAEMON {
                scope.spawn(|| {
                    while !has_ended.load(Ordering::Relaxed) {
                        let _answer = call(*address, "POST", "/sizing/fit", &[], b"x");
                        thread::sleep(CALL_PAUSE);
                    }
                });
            }
        }
    });
}

/// Runs `scenario` while callers call every daemon.
fn under_load(cluster: &mut TestCluster, scenario: impl FnOnce(&mut TestCluster)) {
    let daemons = cluster.daemons.iter();
    let callers: Vec<SocketAddr> = daemons.map(DaemonProcess::callers).collect();
    let has_ended = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| generate_load(&callers, &has_ended));
        let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| scenario(cluster)));
        has_ended.store(true, Ordering::Relaxed);
        if let Err(panic) = outcome {
            std::panic::resume_unwind(panic);
        }
    });
}

fn status(operators: SocketAddr) -> Option<Value> {
    let (_, status) = call_json(operators, "GET", "/v1/status", &Value::Null)?;
    Some(status)
}

/// Waits until the baseline of every worker is measured: at least 20 requests on its machine
/// while it runs no tasks.
fn wait_baselines(cluster: &TestCluster) {
    wait_until(
        "20 requests are measured on the machine of each worker",
        || {
            let owners = cluster.operators().into_iter().filter_map(status);
            let rows = owners.filter_map(|status| status["pressures"].as_array().cloned());
            let workers = rows
                .flatten()
                .filter(|row| row["requests"].as_u64() >= Some(20));
            (workers.count() == 3).then_some(())
        },
    );
}

/// The number of throttled tasks that the owner of the cell reports.
fn throttled_by_owner(cluster: &TestCluster) -> Option<u64> {
    let owners = cluster.operators().into_iter().filter_map(status);
    let queues = owners.filter_map(|status| status["queues"].as_array().cloned());
    queues
        .flatten()
        .find_map(|queue| queue["throttled"].as_u64())
}

/// The number of throttled tasks that the workers have.
fn throttled_at_workers(cluster: &TestCluster) -> usize {
    let workers = cluster.fleet.platform().workers().iter();
    workers
        .map(|worker| worker.service().throttled_tasks())
        .sum()
}

/// Returns `Some` when the explanation of job `patterns` has a line that contains `text`.
fn find_explanation(cluster: &TestCluster, text: &str) -> Option<()> {
    let address = cluster.operators()[0];
    let (_, answer) = call_json(address, "GET", "/v1/explain/patterns", &Value::Null)?;
    let lines = answer["lines"].as_array()?.clone();
    let mut found = lines.iter().filter_map(Value::as_str);
    found.any(|line| line.contains(text)).then_some(())
}

/// Starts tasks on the machine of every runner, and waits until one of them is throttled.
fn start_throttled_tasks(cluster: &TestCluster) {
    wait_baselines(cluster);
    submit(cluster.operators()[0], "patterns", 12, 15_000);
    wait_all_running(cluster.operators()[0], "patterns");
    wait_until("the owner reports a throttled task", || {
        throttled_by_owner(cluster).filter(|count| *count > 0)
    });
    wait_until("a worker has a throttled task", || {
        (throttled_at_workers(cluster) > 0).then_some(())
    });
}

/// Tasks slow down requests on their machine. They must be throttled, `explain` must give
/// the reason, and once operators disable throttling every throttle must be lifted.
#[test]
fn tasks_that_slow_requests_are_throttled_until_operators_disable_it() {
    let mut cluster = start_cluster("colocated_tasks");
    under_load(&mut cluster, |cluster| {
        start_throttled_tasks(cluster);
        wait_until("the throttle is explained", || {
            find_explanation(
                cluster,
                "permille of its processor time: requests next to it took",
            )
        });
        disable_throttling(cluster);
        wait_until("the owner reports no throttled task", || {
            throttled_by_owner(cluster).filter(|count| *count == 0)
        });
        wait_until("no worker has a throttled task", || {
            (throttled_at_workers(cluster) == 0).then_some(())
        });
        wait_job_state(cluster.operators()[0], "patterns", "finished");
    });
    cluster.assert_no_overlapping_attempts();
}

/// The owner that throttled tasks is killed. The next owner must learn the throttles from the
/// workers' reports, and lift them once operators disable throttling.
#[test]
fn a_new_owner_takes_over_the_throttles_of_the_previous_one() {
    let mut cluster = start_cluster("throttling_owner");
    under_load(&mut cluster, |cluster| {
        start_throttled_tasks(cluster);
        cluster.remove_owner("patterns").kill();
        wait_until(
            "the next owner explains a throttle of the previous one",
            || find_explanation(cluster, "throttled by a previous owner"),
        );
        disable_throttling(cluster);
        wait_until("no task is throttled", || {
            let by_owner = throttled_by_owner(cluster).filter(|count| *count == 0);
            by_owner.filter(|_| throttled_at_workers(cluster) == 0)
        });
        wait_job_state(cluster.operators()[0], "patterns", "finished");
    });
    cluster.assert_no_overlapping_attempts();
}

fn disable_throttling(cluster: &TestCluster) {
    let text = cluster.fleet.platform().document();
    let address = cluster.operators()[0];
    wait_until("the document is accepted", || {
        let revision = status(address)?["revision"].clone();
        let change = json!({
            "based_on": revision,
            "text": format!("{text}[colocation]\nthrottle = false\n"),
            "author": "operator-1",
        });
        call_json(address, "PUT", "/v1/document", &change).filter(|(status, _)| *status == 200)
    });
}
