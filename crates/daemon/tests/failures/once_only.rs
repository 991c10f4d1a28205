use crate::support::Stage;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::store::StoreFaults;
use sapphirestile_test_support::call;
use sapphirestile_test_support::wait_until;

const KEY: [(&str, &str); 1] = [("idempotency-key", "permit-7")];

/// A request that must not run twice is tried at every daemon with one key, with
/// a change of owner in between: it runs once. Without the store none runs.
#[test]
fn a_request_that_must_not_run_twice_runs_once() {
    let plan = FleetPlan {
        runners: 2,
        idempotent: false,
        ..FleetPlan::default()
    };
    let mut stage = Stage::set("once_only", plan);
    let send = |callers, headers: &[(&str, &str)]| {
        call(callers, "POST", "/sizing/permit", headers, b"plot 12")
    };
    wait_until("the request is answered", || {
        send(stage.daemons[0].callers(), &KEY).filter(|answer| answer.status == 200)
    });
    for daemon in &stage.daemons {
        let answer = send(daemon.callers(), &KEY).expect("a refusal is an answer");
        assert_eq!(answer.status, 409);
    }

    let killed = stage.daemons.remove(0);
    killed.kill();
    stage
        .scene
        .wait_until_owned(&stage.operators(), crate::support::CELLS);
    for daemon in &stage.daemons {
        wait_until("the new owner refuses the key too", || {
            send(daemon.callers(), &KEY).filter(|answer| answer.status == 409)
        });
    }

    let store = stage.scene.platform().store().service();
    store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let other = [("idempotency-key", "permit-8")];
    let answer = send(stage.daemons[0].callers(), &other).expect("a refusal is an answer");
    assert_eq!(answer.status, 503, "without a record it is not sent");
    let runners = stage.scene.platform().runners().iter();
    let runs: u64 = runners
        .flat_map(|runner| runner.service().counts().executions)
        .filter(|execution| execution.key == KEY[0].1)
        .map(|execution| execution.runs)
        .sum();
    assert_eq!(runs, 1);
}
