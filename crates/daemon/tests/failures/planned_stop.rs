use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use serde_json::Value;

use crate::support::CELLS;
use crate::support::TestCluster;
use crate::support::total_tokens;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::runner::RunnerSettings;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const CALLERS: usize = 6;
const LIMITS: &str = "heartbeat_ms = 100\nsuspect_ms = 1000\nrequest_max_ms = 2000\n";
/// The tokens for all slots: two runners with eight slots in each of three zones.
const TOKENS: u64 = 48;

/// A daemon is stopped as planned while callers send requests for as long as it is ready.
/// Every request must get its complete response, and the other daemons must take over the
/// cells and the tokens.
#[test]
fn a_planned_stop_drops_no_request() {
    let runner = RunnerSettings {
        service_ms: 150,
        ..RunnerSettings::default()
    };
    let plan = FleetPlan {
        runners: 2,
        runner,
        ..FleetPlan::default()
    };
    let (mut cluster, _links) = TestCluster::start_with_limits("planned_stop", plan, LIMITS);
    let leaving = cluster.daemons.remove(0);
    let (callers, operators) = (leaving.callers(), leaving.operators());
    wait_until("a request is answered", || {
        call(callers, "POST", "/sizing/fit", &[], b"warm").filter(|answer| answer.status == 200)
    });
    let (is_unready, answered) = (AtomicBool::new(false), AtomicU64::new(0));

    thread::scope(|scope| {
        let mut threads = Vec::new();
        for number in 0..CALLERS {
            let (is_unready, answered) = (&is_unready, &answered);
            threads.push(scope.spawn(move || {
                while !is_unready.load(Ordering::Acquire) {
                    let body = format!("caller {number}");
                    let answer = call(callers, "POST", "/sizing/fit", &[], body.as_bytes());
                    let answer = answer.expect("a request got no complete response");
                    assert_eq!(answer.status, 200);
                    assert_eq!(String::from_utf8_lossy(&answer.body), body);
                    answered.fetch_add(1, Ordering::Relaxed);
                }
            }));
        }
        wait_until("more than 20 requests are answered", || {
            (answered.load(Ordering::Relaxed) > 20).then_some(())
        });
        leaving.request_stop();
        // The platform's load balancer reads the same endpoint.
        wait_until("the daemon reports that it is not ready", || {
            let (status, _) = call_json(operators, "GET", "/ready", &Value::Null)?;
            (status == 503).then_some(())
        });
        is_unready.store(true, Ordering::Release);
        for thread in threads {
            thread
                .join()
                .expect("every caller got only complete responses");
        }
    });
    assert!(leaving.wait().success(), "the daemon did not stop in time");
    cluster.fleet.wait_until_owned(&cluster.operators(), CELLS);
    // The stopping daemon handed its tokens over: without a handover, the others could use
    // them only after a proof that it is gone.
    wait_until("the other daemons hold all tokens", || {
        (total_tokens(&cluster.operators())? == TOKENS).then_some(())
    });
}
