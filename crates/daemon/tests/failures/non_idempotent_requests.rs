use crate::support::TestCluster;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::store::StoreFaults;
use sapphirestile_test_support::call;
use sapphirestile_test_support::wait_until;

const KEY: [(&str, &str); 1] = [("idempotency-key", "permit-7")];

/// A request that is not idempotent is sent to every daemon with the same idempotency key, and
/// again after its cell has changed owners. It must run once. Without the store, no such
/// request must run.
#[test]
fn a_non_idempotent_request_runs_once() {
    let plan = FleetPlan {
        runners: 2,
        idempotent: false,
        ..FleetPlan::default()
    };
    let mut cluster = TestCluster::start("non_idempotent_requests", plan);
    let send = |callers, headers: &[(&str, &str)]| {
        call(callers, "POST", "/sizing/permit", headers, b"plot 12")
    };
    wait_until("the request is answered", || {
        send(cluster.daemons[0].callers(), &KEY).filter(|answer| answer.status == 200)
    });
    for daemon in &cluster.daemons {
        let answer = send(daemon.callers(), &KEY).expect("the daemon responds");
        assert_eq!(answer.status, 409);
    }

    let killed = cluster.daemons.remove(0);
    killed.kill();
    cluster
        .fleet
        .wait_until_owned(&cluster.operators(), crate::support::CELLS);
    for daemon in &cluster.daemons {
        wait_until("the new owner refuses the recorded key", || {
            send(daemon.callers(), &KEY).filter(|answer| answer.status == 409)
        });
    }

    let store = cluster.fleet.platform().store().service();
    store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let other_key = [("idempotency-key", "permit-8")];
    let answer = send(cluster.daemons[0].callers(), &other_key).expect("the daemon responds");
    assert_eq!(
        answer.status, 503,
        "the request was sent to a runner without a record in the store"
    );
    let runners = cluster.fleet.platform().runners().iter();
    let runs: u64 = runners
        .flat_map(|runner| runner.service().counts().executions)
        .filter(|execution| execution.key == KEY[0].1)
        .map(|execution| execution.runs)
        .sum();
    assert_eq!(runs, 1);
}
