//! Exit codes for refusals, and malformed responses.

use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;
use proptest::sample::select;
use proptest::test_runner::RngSeed;
use serde_json::json;
use test_case::test_case;

use crate::fake_daemon::FakeDaemon;
use crate::fake_daemon::FakeResponse;
use crate::tool_run::run_with_daemons;
use sapphirestile_command::ExitKind;

const PROPERTY_SEED: u64 = 0x7001;
const STATUSES: [u16; 12] = [200, 201, 302, 400, 401, 404, 409, 413, 422, 500, 503, 504];

#[test_case(401, ExitKind::Refused; "a wrong token")]
#[test_case(408, ExitKind::NotRun; "the body arrived too slowly")]
#[test_case(429, ExitKind::NotRun; "too many wrong tokens")]
#[test_case(503, ExitKind::NotRun; "not possible now")]
fn the_status_of_a_refusal_decides_whether_it_is_temporary(status: u16, expected: ExitKind) {
    let refusal = json!({"not_run": true, "reason": "a reason"});
    let daemon = FakeDaemon::with_responses(vec![FakeResponse::Json(status, refusal)]);
    let run = run_with_daemons(&[daemon.address], &["cancel", "patterns"]);
    assert_eq!(run.exit, expected, "{}", run.err);
}

// A body that starts with `}` is never valid JSON.
fn invalid_json() -> impl Strategy<Value = Vec<u8>> {
    let bytes = proptest::collection::vec(any::<u8>(), 0..60);
    bytes.prop_map(|mut bytes| {
        bytes.insert(0, b'}');
        bytes
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(PROPERTY_SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_change_with_a_malformed_response_has_an_unknown_outcome(
        status in select(&STATUSES[..]),
        body in invalid_json(),
    ) {
        let missing = json!({"not_run": true, "reason": "no job patterns"});
        let responses = vec![FakeResponse::Raw(status, body), FakeResponse::Json(404, missing)];
        let daemon = FakeDaemon::with_responses(responses);
        let run = run_with_daemons(&[daemon.address], &["cancel", "patterns"]);
        prop_assert_eq!(run.exit, ExitKind::Unknown);
    }

    #[test]
    fn a_read_with_a_malformed_response_is_unreachable(
        status in select(&STATUSES[..]),
        body in invalid_json(),
    ) {
        let daemon = FakeDaemon::with_responses(vec![FakeResponse::Raw(status, body)]);
        let run = run_with_daemons(&[daemon.address], &["--json", "status"]);
        prop_assert_eq!(run.exit, ExitKind::Unreachable);
    }
}
