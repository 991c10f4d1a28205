use std::thread;

use serde_json::Value;

use crate::support::Stage;
use crate::support::history_of;
use crate::support::job_of;
use crate::support::submit_body;
use crate::support::wait_job;
use crate::support::wait_running;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

/// Of which four fit a worker, and twelve the fleet.
const TASK_MILLI: u64 = 16_000;
const CANCELLED: usize = 24;
const KEPT: usize = 4;
const LONG_MS: u64 = 600_000;
const SHORT_MS: u64 = 300;

/// Two dozen jobs that hold the whole fleet are cancelled at all daemons at once,
/// each at each: what runs is stopped, what waits never starts, the others run,
/// and all of the room is there again.
#[test]
fn a_burst_of_cancellations_frees_all_that_it_cancels() {
    let stage = Stage::set("cancel_burst", FleetPlan::default());
    let operators = stage.operators();
    let names: Vec<String> = (0..CANCELLED)
        .map(|number| format!("burst-{number}"))
        .collect();
    for name in &names {
        submit_body(operators[0], &job_of(name, 2, LONG_MS, TASK_MILLI));
    }
    wait_until("the fleet is full", || {
        (stage.history().len() == 12).then_some(())
    });
    for number in 0..KEPT {
        submit_body(
            operators[1],
            &job_of(&format!("kept-{number}"), 2, SHORT_MS, TASK_MILLI),
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
        wait_job(operators[2], name, "cancelled");
    }
    let started: usize = names
        .iter()
        .map(|name| history_of(&stage, name).len())
        .sum();
    for number in 0..KEPT {
        wait_job(operators[0], &format!("kept-{number}"), "finished");
    }
    submit_body(operators[0], &job_of("whole", 12, 4_000, TASK_MILLI));
    wait_running(operators[0], "whole");
    for name in &names {
        let rows = history_of(&stage, name);
        assert!(rows.iter().all(|row| row.ended_ms.is_some()), "{rows:?}");
    }
    let later: usize = names
        .iter()
        .map(|name| history_of(&stage, name).len())
        .sum();
    assert_eq!(later, started, "a cancelled task was started");
    wait_job(operators[0], "whole", "finished");
    stage.assert_never_twice();
}

fn cancel(operators: std::net::SocketAddr, job: &str) {
    let path = format!("/v1/jobs/{job}/cancel");
    wait_until("the job is cancelled", || {
        call_json(operators, "POST", &path, &Value::Null).filter(|(status, _)| *status == 200)
    });
}
