use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use serde_json::Value;

use crate::support::CELLS;
use crate::support::Stage;
use crate::support::tokens_of;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::runner::RunnerSettings;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const CALLERS: usize = 6;
const LIMITS: &str = "heartbeat_ms = 100\nsuspect_ms = 1000\nrequest_max_ms = 2000\n";
/// Two runners of eight slots in each of three zones.
const TOKENS: u64 = 48;

/// A daemon is stopped as planned while callers send requests as long as it is
/// ready: each has its whole answer, and the cells go on elsewhere at once.
#[test]
fn a_planned_stop_cuts_off_no_request() {
    let runner = RunnerSettings {
        service_ms: 150,
        ..RunnerSettings::default()
    };
    let plan = FleetPlan {
        runners: 2,
        runner,
        ..FleetPlan::default()
    };
    let (mut stage, _links) = Stage::set_limited("planned_stop", plan, LIMITS);
    let leaving = stage.daemons.remove(0);
    let (callers, operators) = (leaving.callers(), leaving.operators());
    wait_until("a request is answered", || {
        call(callers, "POST", "/sizing/fit", &[], b"warm").filter(|answer| answer.status == 200)
    });
    let (unready, sent) = (AtomicBool::new(false), AtomicU64::new(0));

    thread::scope(|scope| {
        let mut threads = Vec::new();
        for number in 0..CALLERS {
            let (unready, sent) = (&unready, &sent);
            threads.push(scope.spawn(move || {
                while !unready.load(Ordering::Acquire) {
                    let body = format!("caller {number}");
                    let answer = call(callers, "POST", "/sizing/fit", &[], body.as_bytes());
                    let answer = answer.expect("a request is cut off");
                    assert_eq!(answer.status, 200);
                    assert_eq!(String::from_utf8_lossy(&answer.body), body);
                    sent.fetch_add(1, Ordering::Relaxed);
                }
            }));
        }
        wait_until("requests flow", || {
            (sent.load(Ordering::Relaxed) > 20).then_some(())
        });
        leaving.request_stop();
        // The platform's balancer asks the same.
        wait_until("the daemon says that it is not ready", || {
            let (status, _) = call_json(operators, "GET", "/ready", &Value::Null)?;
            (status == 503).then_some(())
        });
        unready.store(true, Ordering::Release);
        for thread in threads {
            thread.join().expect("every request has its whole answer");
        }
    });
    assert!(leaving.wait().success(), "the stop ended in time");
    stage.scene.wait_until_owned(&stage.operators(), CELLS);
    // Its tokens went with it, though nothing proves yet that it is gone.
    wait_until("the others hold every token", || {
        (tokens_of(&stage.operators())? == TOKENS).then_some(())
    });
}
