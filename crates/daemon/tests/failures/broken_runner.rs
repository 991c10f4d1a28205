use crate::support::Stage;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::runner::RunnerFaults;
use sapphirestile_test_support::call;
use sapphirestile_test_support::wait_until;

const KEYS: usize = 30;
const LIMITS: &str = "heartbeat_ms = 100\nsuspect_ms = 1000\nrequest_max_ms = 2000\n";
const ALWAYS: u64 = 1_000;

/// Runners cut answers short, drop them after running or send those of others: a caller is given its
/// whole answer or told that the outcome is unknown, and what must not run twice
/// runs once.
#[test]
fn broken_answers_are_never_passed_off_as_whole() {
    let plan = FleetPlan {
        runners: 2,
        idempotent: false,
        ..FleetPlan::default()
    };
    let (stage, _links) = Stage::set_limited("broken_runner", plan, LIMITS);
    let callers = stage.daemons[0].callers();
    wait_until("a request is answered", || {
        call(callers, "POST", "/sizing/permit", &[], b"warm").filter(|answer| answer.status == 200)
    });
    let runners = stage.scene.platform().runners();
    for (place, runner) in runners.iter().enumerate() {
        runner.service().set_faults(RunnerFaults {
            truncate_answers: if place % 3 == 0 { ALWAYS } else { 0 },
            drop_answers: if place % 3 == 1 { ALWAYS } else { 0 },
            foreign_answers: if place % 3 == 2 { ALWAYS } else { 0 },
            ..RunnerFaults::default()
        });
    }
    // All at one daemon, so that its budget would allow some second attempts.
    let keys: Vec<String> = (0..KEYS).map(|number| format!("permit-{number}")).collect();
    for (number, key) in keys.iter().enumerate() {
        let body = format!("plot {number}");
        let headers = [("idempotency-key", key.as_str())];
        let answer = call(callers, "POST", "/sizing/permit", &headers, body.as_bytes())
            .expect("every request is answered");
        assert!([504, 503].contains(&answer.status), "{}", answer.status);
        assert_ne!(answer.body, body.as_bytes());
    }
    for key in &keys {
        let executions = runners
            .iter()
            .flat_map(|runner| runner.service().counts().executions);
        let runs: u64 = executions
            .filter(|execution| execution.key == *key)
            .map(|execution| execution.runs)
            .sum();
        assert!(runs <= 1, "{key} ran {runs} times");
    }
}
