use std::net::SocketAddr;
use std::thread;

use crate::support::Stage;
use crate::support::tokens_of;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::runner::RunnerSettings;
use sapphirestile_test_support::DaemonProcess;
use sapphirestile_test_support::call;
use sapphirestile_test_support::wait_until;

const CALLERS: usize = 8;
const REQUESTS: usize = 25;
const LIMITS: &str = "heartbeat_ms = 100\nsuspect_ms = 1000\nrequest_max_ms = 2000\n";
/// A runner of four slots in each of three zones.
const TOKENS: u64 = 12;

/// Daemons are flooded, one is killed under load and comes back as a new
/// incarnation: no runner is ever given more than it has slots for, and the
/// tokens of the killed one come back into use.
#[test]
fn no_runner_is_given_more_than_its_slots() {
    let runner = RunnerSettings {
        slots: 4,
        service_ms: 30,
        ..RunnerSettings::default()
    };
    let plan = FleetPlan {
        runner,
        ..FleetPlan::default()
    };
    let (mut stage, _links) = Stage::set_limited("slot_bound", plan, LIMITS);
    for daemon in &stage.daemons {
        wait_until("a request is answered", || {
            call(daemon.callers(), "POST", "/sizing/fit", &[], b"warm")
                .filter(|answer| answer.status == 200)
        });
    }
    let flooded: Vec<SocketAddr> = stage.daemons.iter().map(DaemonProcess::callers).collect();
    let killed = stage.daemons.remove(1);
    thread::scope(|scope| {
        for callers in &flooded {
            for _ in 0..CALLERS {
                scope.spawn(|| flood(*callers));
            }
        }
        killed.kill();
    });
    let seeds = [stage.daemons[0].peers()];
    let back = stage.scene.start_daemon("entry-2", "near-b", &seeds);
    wait_until("the new incarnation has tokens", || {
        call(back.callers(), "POST", "/sizing/fit", &[], b"back")
            .filter(|answer| answer.status == 200)
    });
    flood(back.callers());
    stage.daemons.push(back);
    wait_until("every token is in use again", || {
        (tokens_of(&stage.operators())? == TOKENS).then_some(())
    });

    for runner in stage.scene.platform().runners() {
        assert_eq!(runner.service().counts().overruns, 0);
    }
}

/// Sends requests; a killed daemon answers none, a full one refuses some.
fn flood(callers: SocketAddr) {
    for _ in 0..REQUESTS {
        if let Some(answer) = call(callers, "POST", "/sizing/fit", &[], b"flood") {
            assert!([200, 503].contains(&answer.status), "{}", answer.status);
        }
    }
}
