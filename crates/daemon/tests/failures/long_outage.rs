use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::support::Stage;
use crate::support::history_of;
use crate::support::job_of;
use crate::support::submit;
use crate::support::wait_job;
use crate::support::wait_running;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::store::StoreFaults;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

/// The shortest lease, so that the outage lasts several.
const LIMITS: &str = "heartbeat_ms = 100\nsuspect_ms = 1000\nlease_ms = 2000\n";
const HEARTBEAT: Duration = Duration::from_millis(100);
const HEARTBEATS: usize = 150;
/// Longer than the outage.
const LONG_MS: u64 = 25_000;
/// They end while the store is away.
const SHORT_MS: u64 = 5_000;

/// The store is away for many leases: callers are served at every heartbeat,
/// changes and submissions are refused as not run, tasks run on, and those that
/// ended meanwhile count once it is back.
#[test]
fn callers_and_tasks_outlast_many_leases_without_the_store() {
    let plan = FleetPlan {
        workers: 2,
        ..FleetPlan::default()
    };
    let (stage, _links) = Stage::set_limited("long_outage", plan, LIMITS);
    let operators = stage.operators();
    submit(operators[0], "long", 4, LONG_MS);
    submit(operators[0], "short", 4, SHORT_MS);
    wait_running(operators[0], "long");
    wait_running(operators[0], "short");
    for daemon in &stage.daemons {
        wait_until("a request is answered", || {
            is_served(daemon.callers()).then_some(())
        });
    }

    let store = stage.scene.platform().store().service();
    store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let mut refused = 0;
    for beat in 0..HEARTBEATS {
        for daemon in &stage.daemons {
            assert!(is_served(daemon.callers()), "heartbeat {beat}");
        }
        refused += usize::from(is_change_refused(operators[beat % operators.len()]));
        thread::sleep(HEARTBEAT);
    }
    assert_eq!(refused, HEARTBEATS, "every change is refused as not run");
    let body = job_of("outage", 1, 100, 1_000);
    let (status, _) = call_json(operators[0], "POST", "/v1/jobs", &body).expect("an answer");
    assert!([503, 504].contains(&status), "{status}");
    assert_eq!(
        history_of(&stage, "outage").len(),
        0,
        "nothing starts without a commit"
    );

    store.set_faults(StoreFaults::default());
    for (job, state) in [("short", "finished"), ("long", "finished")] {
        let view = wait_job(operators[1], job, state);
        let tasks = view["tasks"].as_array().expect("a view has tasks");
        assert!(tasks.iter().all(|task| task["attempt"] == 1), "{view}");
        assert_eq!(history_of(&stage, job).len(), 4, "{job} was started once");
    }
    submit(operators[2], "later", 2, 200);
    wait_job(operators[2], "later", "finished");
    stage.assert_never_twice();
}

fn is_served(callers: SocketAddr) -> bool {
    let answer = call(callers, "POST", "/sizing/fit", &[], b"neck 41 cm");
    answer.is_some_and(|answer| answer.status == 200 && answer.body == b"neck 41 cm")
}

fn is_change_refused(operators: SocketAddr) -> bool {
    let change = json!({ "state": "out", "author": "operator-1" });
    let answer = call_json(operators, "POST", "/v1/zones/near-a", &change);
    answer.is_some_and(|(status, refusal)| status == 503 && refusal["not_run"] == true)
}
