use crate::support::TestCluster;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::runner::RunnerFaults;
use sapphirestile_test_support::call;
use sapphirestile_test_support::wait_until;

/// The number of requests, each with its own idempotency key.
const KEYS: usize = 30;

const LIMITS: &str = "heartbeat_ms = 100\nsuspect_ms = 1000\nrequest_max_ms = 2000\n";
/// More requests than the test sends, so that the fault never ends.
const ALL_REQUESTS: u64 = 1_000;

/// Runners truncate responses, drop them after having run the request, or send the response
/// to another request. A caller must get its own complete response or an error that says
/// that the outcome is unknown, and a request that is not idempotent must not run twice.
#[test]
fn faulty_responses_are_never_forwarded() {
    let plan = FleetPlan {
        runners: 2,
        idempotent: false,
        ..FleetPlan::default()
    };
    let (cluster, _links) = TestCluster::start_with_limits("broken_runner", plan, LIMITS);
    let callers = cluster.daemons[0].callers();
    wait_until("a request is answered", || {
        call(callers, "POST", "/sizing/permit", &[], b"warm").filter(|answer| answer.status == 200)
    });
    let runners = cluster.fleet.platform().runners();
    for (index, runner) in runners.iter().enumerate() {
        runner.service().set_faults(RunnerFaults {
            truncate_answers: if index % 3 == 0 { ALL_REQUESTS } else { 0 },
            drop_answers: if index % 3 == 1 { ALL_REQUESTS } else { 0 },
            foreign_answers: if index % 3 == 2 { ALL_REQUESTS } else { 0 },
            ..RunnerFaults::default()
        });
    }
    // All requests go to one daemon, so that its retry budget would allow some retries.
    let keys: Vec<String> = (0..KEYS).map(|number| format!("permit-{number}")).collect();
    for (number, key) in keys.iter().enumerate() {
        let body = format!("plot {number}");
        let headers = [("idempotency-key", key.as_str())];
        let answer = call(callers, "POST", "/sizing/permit", &headers, body.as_bytes())
            .expect("the daemon responds to every request");
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
        assert!(
            runs <= 1,
            "the request with key {key} ran {runs} times, expected at most once"
        );
    }
}
