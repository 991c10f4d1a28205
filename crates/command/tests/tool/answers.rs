//! Answers that no daemon should give.

use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;
use proptest::sample::select;
use proptest::test_runner::RngSeed;
use serde_json::json;
use test_case::test_case;

use crate::fake_daemon::FakeAnswer;
use crate::fake_daemon::FakeDaemon;
use crate::tool_scene::run_against;
use sapphirestile_command::ExitKind;

const PROPERTY_SEED: u64 = 0x7001;
const STATUSES: [u16; 12] = [200, 201, 302, 400, 401, 404, 409, 413, 422, 500, 503, 504];

#[test_case(401, ExitKind::Refused; "a wrong token")]
#[test_case(408, ExitKind::NotRun; "a slow body")]
#[test_case(429, ExitKind::NotRun; "too many wrong tokens")]
#[test_case(503, ExitKind::NotRun; "not now")]
fn a_refusal_may_pass_or_not(status: u16, expected: ExitKind) {
    let refusal = json!({"not_run": true, "reason": "as the daemon says"});
    let daemon = FakeDaemon::answering(vec![FakeAnswer::Whole(status, refusal)]);
    let run = run_against(&[daemon.address], &["cancel", "patterns"]);
    assert_eq!(run.exit, expected, "{}", run.err);
}

// None of these is the body of an answer.
fn garbage() -> impl Strategy<Value = Vec<u8>> {
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
    fn a_change_with_a_garbled_answer_is_unknown(
        status in select(&STATUSES[..]),
        body in garbage(),
    ) {
        let missing = json!({"not_run": true, "reason": "no job patterns"});
        let answers = vec![FakeAnswer::Raw(status, body), FakeAnswer::Whole(404, missing)];
        let daemon = FakeDaemon::answering(answers);
        let run = run_against(&[daemon.address], &["cancel", "patterns"]);
        prop_assert_eq!(run.exit, ExitKind::Unknown);
    }

    #[test]
    fn a_read_with_a_garbled_answer_is_no_result(
        status in select(&STATUSES[..]),
        body in garbage(),
    ) {
        let daemon = FakeDaemon::answering(vec![FakeAnswer::Raw(status, body)]);
        let run = run_against(&[daemon.address], &["--json", "status"]);
        prop_assert_eq!(run.exit, ExitKind::Unreachable);
    }
}
