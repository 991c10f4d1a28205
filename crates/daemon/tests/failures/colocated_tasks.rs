use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::support::Stage;
use crate::support::submit;
use crate::support::wait_job;
use crate::support::wait_running;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::runner::RunnerSettings;
use sapphirestile_test_support::DaemonProcess;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const LIMITS: &str = "heartbeat_ms = 100\nsuspect_ms = 1000\nslowdown_ms = 300\n";
const CALLERS_A_DAEMON: usize = 3;
const CALL_PAUSE: Duration = Duration::from_millis(5);

/// A runner and a worker on each of three machines.
fn stage(name: &str) -> Stage {
    let plan = FleetPlan {
        colocated: true,
        runner: RunnerSettings {
            interference_us_per_core: 8_000,
            ..RunnerSettings::default()
        },
        ..FleetPlan::default()
    };
    Stage::set_limited(name, plan, LIMITS).0
}

/// Calls every daemon until `ended`; answers and refusals do not matter here.
fn call_on(callers: &[SocketAddr], ended: &AtomicBool) {
    thread::scope(|scope| {
        for address in callers {
            for _ in 0..CALLERS_A_DAEMON {
                scope.spawn(|| {
                    while !ended.load(Ordering::Relaxed) {
                        let _answer = call(*address, "POST", "/sizing/fit", &[], b"x");
                        thread::sleep(CALL_PAUSE);
                    }
                });
            }
        }
    });
}

/// Runs a scene while callers call every daemon.
fn under_load(stage: &mut Stage, scene: impl FnOnce(&mut Stage)) {
    let daemons = stage.daemons.iter();
    let callers: Vec<SocketAddr> = daemons.map(DaemonProcess::callers).collect();
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| call_on(&callers, &ended));
        let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| scene(stage)));
        ended.store(true, Ordering::Relaxed);
        if let Err(panic) = outcome {
            std::panic::resume_unwind(panic);
        }
    });
}

fn status(operators: SocketAddr) -> Option<Value> {
    let (_, status) = call_json(operators, "GET", "/v1/status", &Value::Null)?;
    Some(status)
}

/// Waits until requests beside every worker were measured without tasks there.
fn wait_measured(stage: &Stage) {
    wait_until("requests are measured beside each worker", || {
        let owners = stage.operators().into_iter().filter_map(status);
        let rows = owners.filter_map(|status| status["pressures"].as_array().cloned());
        let workers = rows
            .flatten()
            .filter(|row| row["requests"].as_u64() >= Some(20));
        (workers.count() == 3).then_some(())
    });
}

/// How many tasks are throttled, by the word of the cell's owner.
fn throttled(stage: &Stage) -> Option<u64> {
    let owners = stage.operators().into_iter().filter_map(status);
    let queues = owners.filter_map(|status| status["queues"].as_array().cloned());
    queues
        .flatten()
        .find_map(|queue| queue["throttled"].as_u64())
}

/// How many tasks are throttled, by the workers themselves.
fn limited(stage: &Stage) -> usize {
    let workers = stage.scene.platform().workers().iter();
    workers
        .map(|worker| worker.service().throttled_tasks())
        .sum()
}

fn explained(stage: &Stage, text: &str) -> Option<()> {
    let address = stage.operators()[0];
    let (_, answer) = call_json(address, "GET", "/v1/explain/patterns", &Value::Null)?;
    let lines = answer["lines"].as_array()?.clone();
    let mut found = lines.iter().filter_map(Value::as_str);
    found.any(|line| line.contains(text)).then_some(())
}

/// Starts tasks beside every runner, and waits until one of them is throttled.
fn throttle_tasks(stage: &Stage) {
    wait_measured(stage);
    submit(stage.operators()[0], "patterns", 12, 15_000);
    wait_running(stage.operators()[0], "patterns");
    wait_until("a task is throttled by the owner's word", || {
        throttled(stage).filter(|count| *count > 0)
    });
    wait_until("the workers run throttled tasks", || {
        (limited(stage) > 0).then_some(())
    });
}

/// Tasks slow the requests beside them: they are throttled, `explain` says why,
/// and operators who want no throttling have every throttle lifted.
#[test]
fn tasks_that_slow_requests_are_throttled_until_operators_say_otherwise() {
    let mut stage = stage("colocated_tasks");
    under_load(&mut stage, |stage| {
        throttle_tasks(stage);
        wait_until("the throttle is explained", || {
            explained(
                stage,
                "permille of its processor time: requests next to it took",
            )
        });
        forbid_throttling(stage);
        wait_until("no task is throttled", || {
            throttled(stage).filter(|count| *count == 0)
        });
        wait_until("every task that runs has its whole time", || {
            (limited(stage) == 0).then_some(())
        });
        wait_job(stage.operators()[0], "patterns", "finished");
    });
    stage.assert_never_twice();
}

/// The owner that throttled is killed: the next one finds the throttles in the
/// workers' reports, and lifts them when operators want none.
#[test]
fn a_new_owner_finds_the_throttles_of_the_one_before() {
    let mut stage = stage("throttling_owner");
    under_load(&mut stage, |stage| {
        throttle_tasks(stage);
        stage.take_owner("patterns").kill();
        wait_until("the next owner shows a throttle that it found", || {
            explained(stage, "throttled by a previous owner")
        });
        forbid_throttling(stage);
        wait_until("no task is throttled", || {
            let decided = throttled(stage).filter(|count| *count == 0);
            decided.filter(|_| limited(stage) == 0)
        });
        wait_job(stage.operators()[0], "patterns", "finished");
    });
    stage.assert_never_twice();
}

fn forbid_throttling(stage: &Stage) {
    let text = stage.scene.platform().document();
    let address = stage.operators()[0];
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
