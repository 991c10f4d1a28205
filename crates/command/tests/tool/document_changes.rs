//! Commands that change the document.

use std::path::PathBuf;

use serde_json::Value;
use serde_json::json;
use test_case::test_case;

use crate::fake_daemon::FakeDaemon;
use crate::fake_daemon::FakeResponse;
use crate::tool_run::TOKEN;
use crate::tool_run::ToolRun;
use crate::tool_run::run_with_daemons;
use sapphirestile_command::ExitKind;

const TEXT: &str = "[region r]\nlink_mbit = 1\n[zone a]\nregion = r\nstate = out\n";
const OTHER_TEXT: &str = "[region r]\nlink_mbit = 1\n[zone a]\nregion = r\nstate = in\n";

fn view(revision: u64, text: &str) -> Value {
    json!({"revision": revision, "text": text, "author": "pekka",
        "changed_unix_ms": 1_796_379_780_000_u64})
}

fn document_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("{}-{name}.ini", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn run_document(name: &str, text: &str, arguments: &[&str], daemon: &FakeDaemon) -> ToolRun {
    let path = document_file(name, text);
    let mut all_arguments = vec!["document", arguments[0], path.to_str().unwrap()];
    all_arguments.extend(&arguments[1..]);
    let run = run_with_daemons(&[daemon.address], &all_arguments);
    std::fs::remove_file(path).unwrap();
    run
}

fn apply(name: &str, responses: Vec<FakeResponse>) -> ToolRun {
    let daemon = FakeDaemon::with_responses(responses);
    let text = format!("; revision 7\n{TEXT}");
    run_document(name, &text, &["apply", "--author=maija"], &daemon)
}

#[test]
fn a_file_is_applied_based_on_the_revision_in_its_first_line() {
    let daemon = FakeDaemon::with_responses(vec![FakeResponse::Json(200, json!({"revision": 8}))]);
    let text = format!("; revision 7\n{TEXT}");
    let run = run_document("names", &text, &["apply", "--author=maija"], &daemon);
    assert_eq!(
        (run.out.as_str(), run.exit),
        ("applied; active as of revision 8\n", ExitKind::Done)
    );
    let body = json!({"based_on": 7, "text": TEXT, "author": "maija", "dry_run": false});
    let call = daemon.calls().remove(0);
    let sent = call
        .strip_prefix("PUT /v1/document ")
        .and_then(|rest| rest.strip_suffix(&format!(" Bearer {TOKEN}")))
        .unwrap();
    assert_eq!(serde_json::from_str::<Value>(sent).unwrap(), body);
}

#[test]
fn a_dry_run_writes_nothing() {
    let daemon = FakeDaemon::with_responses(vec![FakeResponse::Json(200, json!({"revision": 7}))]);
    let arguments = ["apply", "--author=maija", "--based-on=7", "--dry-run"];
    let run = run_document("dry", TEXT, &arguments, &daemon);
    assert_eq!(
        run.out,
        "valid; nothing was written, revision 7 is still active\n"
    );
    assert!(daemon.calls()[0].contains("\"dry_run\":true"));
}

#[test]
fn a_file_without_a_revision_is_not_sent() {
    let daemon = FakeDaemon::with_responses(Vec::new());
    let run = run_document("bare", TEXT, &["apply", "--author=maija"], &daemon);
    assert_eq!(run.exit, ExitKind::BadUsage);
    assert_eq!(
        run.err,
        "the file does not name the revision that it is based on: give --based-on REVISION, or keep \
         the first line that `document show` writes\n"
    );
}

#[test]
fn a_conflict_shows_the_active_revision_and_the_changes() {
    let conflict = json!({"based_on": 7, "current": view(9, OTHER_TEXT)});
    let run = apply("conflict", vec![FakeResponse::Json(409, conflict)]);
    assert_eq!(run.exit, ExitKind::Refused);
    let expected = "refused: based on revision 7, but the active revision is 9, written by pekka at \
        2026-12-04 10:23:00 UTC\nchanges from revision 9 to yours:\n  \
        [zone a] state: in -> out\n";
    assert!(run.err.starts_with(expected), "{}", run.err);
}

#[test]
fn every_fault_is_shown() {
    let faults = json!({"faults": [
        {"section": "zone a", "key": "state", "value": "up", "expected": "in or out"},
        {"section": "zone B", "key": "", "value": "", "expected": "a valid name"},
    ]});
    let run = apply("faults", vec![FakeResponse::Json(422, faults)]);
    assert_eq!(run.exit, ExitKind::Refused);
    let expected = "refused: 2 faults\n  [zone a] state = \"up\": expected in or out\n  \
        [zone B]: expected a valid name\n";
    assert!(run.err.starts_with(expected), "{}", run.err);
}

#[test_case("won", 8, TEXT, ExitKind::Done; "the change was written")]
#[test_case("lost", 8, OTHER_TEXT, ExitKind::Unknown; "another text was written")]
#[test_case("early", 7, OTHER_TEXT, ExitKind::Unknown; "nothing was written yet")]
#[test_case("same", 7, TEXT, ExitKind::Unknown; "the text was already active before")]
fn a_change_with_a_lost_response_is_read_back(
    name: &str,
    revision: u64,
    text: &str,
    expected: ExitKind,
) {
    let read_back = FakeResponse::Json(200, view(revision, text));
    let run = apply(name, vec![FakeResponse::Truncated, read_back]);
    assert_eq!(run.exit, expected, "{}", run.err);
}

#[test]
fn a_file_is_compared_key_by_key() {
    let daemon = FakeDaemon::with_responses(vec![FakeResponse::Json(200, view(9, OTHER_TEXT))]);
    let run = run_document("diff", TEXT, &["diff"], &daemon);
    assert_eq!(
        run.out,
        "changes from revision 9:\n  [zone a] state: in -> out\n"
    );
    assert_eq!(run.exit, ExitKind::Done);
}

#[test]
fn an_invalid_file_is_not_compared() {
    let daemon = FakeDaemon::with_responses(Vec::new());
    let run = run_document("wrong", "[zone a]\nstate = in\n", &["diff"], &daemon);
    assert_eq!(run.exit, ExitKind::Refused);
    assert_eq!(
        run.err,
        "refused: 1 fault\n  [zone a] region = \"\": expected the name of a region\n"
    );
}

#[test_case("out", "out"; "it is taken out")]
#[test_case("return", "in"; "it is returned")]
fn a_zone_changes_its_state(command: &str, state: &str) {
    let daemon = FakeDaemon::with_responses(vec![FakeResponse::Json(200, json!({"revision": 8}))]);
    let run = run_with_daemons(&[daemon.address], &["zone", command, "a", "--author=maija"]);
    assert_eq!(run.out, format!("zone a is {state} as of revision 8\n"));
    let body = format!("{{\"state\":\"{state}\",\"author\":\"maija\"}}");
    let call = format!("POST /v1/zones/a {body} Bearer {TOKEN}");
    assert_eq!(daemon.calls(), [call]);
}

#[test]
fn a_zone_change_that_conflicts_with_another_change_is_refused() {
    let conflict = json!({"based_on": 7, "current": view(9, OTHER_TEXT)});
    let daemon = FakeDaemon::with_responses(vec![FakeResponse::Json(409, conflict)]);
    let run = run_with_daemons(&[daemon.address], &["zone", "out", "a", "--author=maija"]);
    assert_eq!(run.exit, ExitKind::Refused);
    let expected = "refused: based on revision 7, but the active revision is 9, written by pekka at \
        2026-12-04 10:23:00 UTC\n  read response at ";
    assert!(run.err.starts_with(expected), "{}", run.err);
}

#[test_case(TEXT, ExitKind::Done; "the zone is out")]
#[test_case(OTHER_TEXT, ExitKind::Unknown; "the zone is not out yet")]
fn a_zone_change_with_a_lost_response_is_read_back(text: &str, expected: ExitKind) {
    let read_back = FakeResponse::Json(200, view(8, text));
    let daemon = FakeDaemon::with_responses(vec![FakeResponse::Truncated, read_back]);
    let run = run_with_daemons(&[daemon.address], &["zone", "out", "a", "--author=maija"]);
    assert_eq!(run.exit, expected);
}

#[test]
fn a_zone_is_not_taken_out_while_the_store_is_unreachable() {
    let refusal = json!({"not_run": true, "reason": "the store cannot be reached"});
    let daemon = FakeDaemon::with_responses(vec![FakeResponse::Json(503, refusal)]);
    let run = run_with_daemons(
        &[daemon.address],
        &["--json", "zone", "out", "a", "--author=maija"],
    );
    assert_eq!(run.exit, ExitKind::NotRun);
    assert_eq!(
        serde_json::from_str::<Value>(&run.out).unwrap(),
        json!({"outcome": "not_run", "reason": "the store cannot be reached"})
    );
}
