//! Tests of the operator API's bodies.

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use test_case::test_case;

use sapphirestile_core::ConfigRevision;
use sapphirestile_wire::api::AuthorName;
use sapphirestile_wire::api::DocumentChange;
use sapphirestile_wire::api::JobSubmission;
use sapphirestile_wire::api::OperatorToken;
use sapphirestile_wire::api::RECENT_CHANGES_MAX;
use sapphirestile_wire::api::StoredDocument;
use sapphirestile_wire::api::UnixTime;
use sapphirestile_wire::api::WriteStatus;
use sapphirestile_wire::api::ZoneChange;

const PROPERTY_SEED: u64 = 0x0a91;

fn change(based_on: u64, text: &str) -> DocumentChange {
    DocumentChange {
        based_on: ConfigRevision::new(based_on),
        text: text.to_owned(),
        author: AuthorName::try_from("maija").unwrap(),
        dry_run: false,
    }
}

#[test]
fn history_keeps_only_the_latest_changes() {
    let mut row = StoredDocument::successor(None, &change(0, "[region r]\nlink_mbit = 1\n"), 0);
    for link_mbit in 2..40 {
        let text = format!("[region r]\nlink_mbit = {link_mbit}\n");
        row = StoredDocument::successor(Some(&row), &change(link_mbit, &text), link_mbit * 1_000);
    }
    assert_eq!(row.recent.len(), RECENT_CHANGES_MAX);
    assert_eq!(row.recent[0].lines, ["[region r] link_mbit: 38 -> 39"]);
    assert_eq!(row.recent[19].replaced, ConfigRevision::new(20));
    assert_eq!(row.changed_unix_ms, 39_000);
}

#[test]
fn history_truncates_a_large_change() {
    let regions = (0..30).map(|index| format!("[region r{index}]\nlink_mbit = 1\n"));
    let text = regions.collect::<String>();
    let row = StoredDocument::successor(None, &change(0, &text), 0);
    assert_eq!(row.recent[0].lines.len(), 21);
    assert_eq!(row.recent[0].lines[20], "and 10 more");
}

#[test]
fn a_later_row_determines_whether_a_write_took_effect() {
    let base = StoredDocument::successor(None, &change(0, "[region r]\nlink_mbit = 1\n"), 0);
    let ours = StoredDocument::successor(Some(&base), &change(5, "[region r]\nlink_mbit = 2\n"), 1);
    let rival =
        StoredDocument::successor(Some(&base), &change(5, "[region r]\nlink_mbit = 3\n"), 1);
    let written = WriteStatus::Written(ConfigRevision::new(8));
    let status = |row: &StoredDocument, write, revision| {
        let revision = ConfigRevision::new(revision);
        row.write_status(write, revision)
    };
    assert_eq!(status(&base, &ours, 5), WriteStatus::Unknown);
    assert_eq!(status(&ours, &ours, 8), written);
    assert_eq!(status(&rival, &ours, 8), WriteStatus::Conflict);
    let mut later = ours.clone();
    for replaced in 8..27 {
        later = StoredDocument::successor(Some(&later), &change(replaced, ""), replaced);
        assert_eq!(status(&later, &ours, replaced + 1), written);
        assert_eq!(status(&later, &rival, replaced + 1), WriteStatus::Conflict);
    }
    later = StoredDocument::successor(Some(&later), &change(27, ""), 27);
    assert_eq!(status(&later, &ours, 28), WriteStatus::Unknown);
}

#[test_case(r#"{"state":"out","author":"maija","why":"storm"}"#; "an unknown field")]
#[test_case(r#"{"state":"up","author":"maija"}"#; "an unknown state")]
#[test_case(r#"{"state":"out","author":"a\nb"}"#; "an author with a line break")]
#[test_case(r#"{"state":"out","author":""}"#; "no author")]
fn decoding_rejects_an_invalid_zone_change(body: &str) {
    assert!(serde_json::from_str::<ZoneChange>(body).is_err());
}

#[test]
fn zones_and_urgency_of_a_submission_are_optional() {
    let body = r#"{"job":"patterns","customer":"tailors","tasks":2,
        "size":{"cpu_milli":1,"memory_mb":2,"accelerators":0},"run_ms":3}"#;
    let submission = serde_json::from_str::<JobSubmission>(body).unwrap();
    assert_eq!((submission.urgent, submission.zones), (false, None));
}

#[test]
fn an_authentication_code_is_bound_to_token_purpose_and_message() {
    let token = OperatorToken::try_from("0123456789abcdef").unwrap();
    let other = OperatorToken::try_from("0123456789abcdeg").unwrap();
    let code = token.sign("session", "maija");
    assert!(token.verify("session", "maija", &code));
    assert!(!token.verify("sessiom", "maija", &code));
    assert!(!token.verify("session", "maijb", &code));
    assert!(!token.verify("sessionm", "aija", &code));
    assert!(!other.verify("session", "maija", &code));
    assert!(!token.verify("session", "maija", "not hex"));
}

#[test_case(None, false; "no header")]
#[test_case(Some("Bearer 0123456789abcdef"), true; "the token")]
#[test_case(Some("Bearer 0123456789abcdeX"), false; "another token")]
#[test_case(Some("Bearer 0123456789abcde"), false; "a prefix of the token")]
#[test_case(Some("0123456789abcdef"), false; "no scheme")]
fn authorization_requires_the_exact_bearer_token(authorization: Option<&str>, admitted: bool) {
    let token = OperatorToken::try_from("0123456789abcdef").unwrap();
    assert_eq!(token.admits(authorization), admitted);
    assert_eq!(format!("{token:?}"), "OperatorToken(..)");
}

#[test_case(0, "1970-01-01 00:00:00 UTC"; "the Unix epoch")]
#[test_case(1_077_926_400_000, "2004-02-28 00:00:00 UTC"; "before a leap day")]
#[test_case(1_078_012_800_000, "2004-02-29 00:00:00 UTC"; "a leap day")]
#[test_case(1_078_099_200_000, "2004-03-01 00:00:00 UTC"; "after a leap day")]
#[test_case(4_107_542_399_999, "2100-02-28 23:59:59 UTC"; "no leap day in 2100")]
#[test_case(4_107_542_400_000, "2100-03-01 00:00:00 UTC"; "after February 2100")]
#[test_case(1_796_379_780_000, "2026-12-04 10:23:00 UTC"; "a recent time")]
fn times_are_formatted_in_utc(unix_ms: u64, expected: &str) {
    assert_eq!(UnixTime::new(unix_ms).to_string(), expected);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(PROPERTY_SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = StoredDocument::try_from(bytes.as_slice());
    }
}
