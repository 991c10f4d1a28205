use std::net::SocketAddr;
use std::thread;

use crate::support::TestCluster;
use crate::support::total_tokens;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::runner::RunnerSettings;
use sapphirestile_test_support::DaemonProcess;
use sapphirestile_test_support::call;
use sapphirestile_test_support::wait_until;

const CALLERS_PER_DAEMON: usize = 8;
const REQUESTS_PER_CALLER: usize = 25;
const LIMITS: &str = "heartbeat_ms = 100\nsuspect_ms = 1000\nrequest_max_ms = 2000\n";
/// The tokens for all slots: a runner with four slots in each of three zones.
const TOKENS: u64 = 12;

/// Daemons are overloaded; one of them is killed under load and restarted as a new
/// incarnation. No runner must ever get more concurrent requests than it has slots, and the
/// tokens of the killed incarnation must be used again.
#[test]
fn no_runner_gets_more_requests_than_slots() {
    let runner = RunnerSettings {
        slots: 4,
        service_ms: 30,
        ..RunnerSettings::default()
    };
    let plan = FleetPlan {
        runner,
        ..FleetPlan::default()
    };
    let (mut cluster, _links) = TestCluster::start_with_limits("slot_limit", plan, LIMITS);
    for daemon in &cluster.daemons {
        wait_until("a request is answered", || {
            call(daemon.callers(), "POST", "/sizing/fit", &[], b"warm")
                .filter(|answer| answer.status == 200)
        });
    }
    let addresses: Vec<SocketAddr> = cluster.daemons.iter().map(DaemonProcess::callers).collect();
    let killed = cluster.daemons.remove(1);
    thread::scope(|scope| {
        for callers in &addresses {
            for _ in 0..CALLERS_PER_DAEMON {
                scope.spawn(|| send_requests(*callers));
            }
        }
        killed.kill();
    });
    let seeds = [cluster.daemons[0].peers()];
    let restarted = cluster.fleet.start_daemon("entry-2", "near-b", &seeds);
    wait_until("the new incarnation has tokens", || {
        call(restarted.callers(), "POST", "/sizing/fit", &[], b"back")
            .filter(|answer| answer.status == 200)
    });
    send_requests(restarted.callers());
    cluster.daemons.push(restarted);
    wait_until("the daemons hold all tokens again", || {
        (total_tokens(&cluster.operators())? == TOKENS).then_some(())
    });

    for runner in cluster.fleet.platform().runners() {
        assert_eq!(runner.service().counts().overruns, 0);
    }
}

/// Sends requests without waiting in between. A killed daemon does not respond, and a daemon
/// without free slots refuses with status 503.
fn send_requests(callers: SocketAddr) {
    for _ in 0..REQUESTS_PER_CALLER {
        if let Some(answer) = call(callers, "POST", "/sizing/fit", &[], b"flood") {
            assert!([200, 503].contains(&answer.status), "{}", answer.status);
        }
    }
}
