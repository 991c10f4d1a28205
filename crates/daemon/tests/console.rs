//! Pages, forms and sessions of the operators' console.

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::prop_assert;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use test_case::test_case;

use sapphirestile_core::ConfigRevision;
use sapphirestile_core::CustomerName;
use sapphirestile_core::OperatorDocument;
use sapphirestile_daemon::console::ConsoleChange;
use sapphirestile_daemon::console::ConsoleMethod;
use sapphirestile_daemon::console::ConsoleOutcome;
use sapphirestile_daemon::console::ConsolePage;
use sapphirestile_daemon::console::ConsoleRequest;
use sapphirestile_daemon::console::ConsoleSession;
use sapphirestile_daemon::console::ConsoleState;
use sapphirestile_daemon::console::ConsoleStep;
use sapphirestile_daemon::console::FormFields;
use sapphirestile_daemon::console::handle_request;
use sapphirestile_daemon::console::render_outcome;
use sapphirestile_wire::api::AuthorName;
use sapphirestile_wire::api::CallRefusal;
use sapphirestile_wire::api::DaemonStatus;
use sapphirestile_wire::api::DocumentAccepted;
use sapphirestile_wire::api::DocumentConflict;
use sapphirestile_wire::api::DocumentView;
use sapphirestile_wire::api::OperatorToken;
use sapphirestile_wire::api::RecordedChange;

const PROPERTY_SEED: u64 = 0xc0a5;
const NOW_MS: u64 = 1_796_379_780_000;
const TOKEN: &str = "0123456789abcdef";
const HOSTILE: &str = "<script>alert(\"1\")</script>";
const ESCAPED: &str = "&lt;script&gt;alert(&quot;1&quot;)&lt;/script&gt;";
const TEXT: &str = "\
; the coast
[region rannikko]
link_mbit = 4
[zone rannikko-hki]
region = rannikko
state = in
[service koon-mitoitus]
slots = 8
connections = 64
[customer tailors]
cpu_milli = 64000
memory_mb = 250000
";

/// The state, token and session with which the tests call the console.
struct ConsoleFixture {
    view: DocumentView,
    recent: Vec<RecordedChange>,
    status: DaemonStatus,
    token: OperatorToken,
    session: ConsoleSession,
}

impl ConsoleFixture {
    fn new() -> Self {
        let author = AuthorName::try_from("maija").unwrap();
        let status = r#"{"daemon": "hki-1", "incarnation": 3, "zone": "rannikko-hki",
            "phase": "serving", "revision": 7, "store_reachable": true, "cells": [],
            "members": [], "zones": [], "services": [], "queues": []}"#;
        Self {
            view: DocumentView {
                revision: ConfigRevision::new(7),
                text: TEXT.to_owned(),
                author: "pekka".to_owned(),
                changed_unix_ms: NOW_MS,
            },
            recent: Vec::new(),
            status: serde_json::from_str(status).unwrap(),
            token: OperatorToken::try_from(TOKEN).unwrap(),
            session: ConsoleSession::begin(author, NOW_MS),
        }
    }

    fn state(&self) -> ConsoleState<'_> {
        ConsoleState {
            view: &self.view,
            recent: &self.recent,
            status: &self.status,
            token: &self.token,
            now_unix_ms: NOW_MS,
        }
    }

    fn cookie(&self) -> String {
        let header = self.session.cookie(&self.token);
        header.split(';').next().unwrap().to_owned()
    }

    fn step(&self, method: ConsoleMethod, path: &str, body: &str) -> ConsoleStep {
        let cookie = self.cookie();
        let request = ConsoleRequest {
            method,
            path,
            cookie: Some(&cookie),
            body: body.as_bytes(),
        };
        handle_request(&request, &self.state())
    }

    fn show(&self, path: &str) -> ConsolePage {
        page_of(self.step(ConsoleMethod::Get, path, ""))
    }

    fn post(&self, path: &str, based_on: u64, body: &str) -> ConsoleStep {
        let form_token = self.session.form_token(&self.token);
        let body = format!("form_token={form_token}&based_on={based_on}&{body}");
        self.step(ConsoleMethod::Post, path, &body)
    }
}

fn page_of(step: ConsoleStep) -> ConsolePage {
    match step {
        ConsoleStep::Page(page) => page,
        ConsoleStep::Change(change) => panic!("a change where a page was expected: {change:?}"),
    }
}

fn change_of(step: ConsoleStep) -> ConsoleChange {
    match step {
        ConsoleStep::Change(change) => *change,
        ConsoleStep::Page(page) => panic!("a page where a change was expected: {page:?}"),
    }
}

#[test]
fn taking_out_a_zone_changes_one_line_of_the_text_in_force() {
    let fixture = ConsoleFixture::new();
    let step = fixture.post("/console/zones", 7, "zone=rannikko-hki&state=out");
    let change = change_of(step).change;
    assert_eq!(change.text, TEXT.replace("state = in", "state = out"));
    assert_eq!(change.based_on, ConfigRevision::new(7));
    assert_eq!(change.author.as_str(), "maija");
    assert!(!change.dry_run);
}

#[test]
fn a_customer_is_added_with_limits_and_priority() {
    let fixture = ConsoleFixture::new();
    let body = "customer=kennels&cpu_milli=9&memory_mb=8&accelerators=1&priority=7&action=save";
    let change = change_of(fixture.post("/console/customers", 7, body)).change;
    let document = OperatorDocument::try_from(change.text.as_str()).unwrap();
    let kennels = CustomerName::try_from("kennels").unwrap();
    assert_eq!(document.customers.get(&kennels).unwrap().priority, 7);
    assert!(change.text.starts_with(TEXT));
}

#[test]
fn removing_a_service_must_be_confirmed() {
    let fixture = ConsoleFixture::new();
    let body = "service=koon-mitoitus&slots=x&action=remove";
    let confirmation = page_of(fixture.post("/console/services", 7, body));
    assert_eq!(confirmation.status, 200);
    assert!(
        confirmation
            .body
            .contains("<li>[service koon-mitoitus] slots: 8 removed")
    );
    assert!(confirmation.body.contains("name=\"confirm\" value=\"yes\""));
    let confirmed = format!("{body}&confirm=yes");
    let change = change_of(fixture.post("/console/services", 7, &confirmed)).change;
    assert!(!change.text.contains("koon-mitoitus"));
}

#[test_case("/console/services", "service=koon-mitoitus&slots=8&connections=4&deadline_ms=2000&idempotent=true", "[service koon-mitoitus] connections = &quot;4&quot;: expected at least as many connections as slots"; "a value out of range")]
#[test_case("/console/services", "service=koon-mitoitus&slots=many&connections=4&deadline_ms=2000&idempotent=true", "[service koon-mitoitus] slots = &quot;many&quot;: expected a whole number"; "no number")]
#[test_case("/console/customers", "customer=T&action=remove", "[customer] name = &quot;T&quot;: expected &quot;T&quot; is not a CustomerName"; "an invalid name")]
#[test_case("/console/zones", "zone=turku&state=in", "[zone turku]: expected a zone that has a section of its own"; "an unknown zone")]
#[test_case("/console/document", "text=%5Bzone+a%5D%0D%0Astate+%3D+up&action=write", "[zone a] state = &quot;up&quot;: expected in or out"; "an invalid text")]
fn a_form_with_faults_changes_nothing(path: &str, body: &str, expected: &str) {
    let page = page_of(ConsoleFixture::new().post(path, 7, body));
    assert_eq!(page.status, 422);
    assert!(page.body.contains(expected), "{}", page.body);
}

#[test]
fn a_whole_text_is_checked_before_it_is_written() {
    let fixture = ConsoleFixture::new();
    let text = "text=%5Bregion+r%5D%0D%0Alink_mbit+%3D+1%0D%0A";
    let check = change_of(fixture.post("/console/document", 6, &format!("{text}&action=check")));
    assert!(check.change.dry_run);
    let revision = ConfigRevision::new(7);
    let outcome = ConsoleOutcome::Accepted(DocumentAccepted { revision });
    let checked = render_outcome(&check, &outcome, &fixture.state());
    assert_eq!(checked.status, 200);
    assert!(
        checked.body.contains("<li>[region r] link_mbit: 1 added"),
        "{}",
        checked.body
    );
    assert!(checked.body.contains("name=\"based_on\" value=\"6\""));
    let written = change_of(fixture.post("/console/document", 7, &format!("{text}&action=write")));
    assert_eq!(written.change.text, "[region r]\nlink_mbit = 1\n");
    assert!(!written.change.dry_run);
}

#[test]
fn a_text_with_faults_keeps_the_revision_it_is_based_on() {
    let page = page_of(ConsoleFixture::new().post("/console/document", 6, "text=x&action=write"));
    assert_eq!(page.status, 422);
    assert!(
        page.body
            .contains("name=\"based_on\" value=\"6\"><textarea")
    );
}

#[test_case("/console/zones", "zone=rannikko-hki&state=out"; "zones")]
#[test_case("/console/services", "service=koon-mitoitus&action=remove"; "services")]
#[test_case("/console/customers", "customer=tailors&action=remove"; "customers")]
#[test_case("/console/document", "text=&action=write"; "document")]
#[test_case("/console/sign-out", ""; "sign out")]
fn nothing_changes_without_a_session_and_its_form_token(path: &str, body: &str) {
    let fixture = ConsoleFixture::new();
    let form_token = fixture.session.form_token(&fixture.token);
    let posted = format!("form_token={form_token}&based_on=7&{body}");
    let request = ConsoleRequest {
        method: ConsoleMethod::Post,
        path,
        cookie: None,
        body: posted.as_bytes(),
    };
    let without_session = page_of(handle_request(&request, &fixture.state()));
    assert_eq!(without_session.status, 401);
    let bare = format!("based_on=7&{body}");
    let without_token = page_of(fixture.step(ConsoleMethod::Post, path, &bare));
    assert_eq!(without_token.status, 403);
}

#[test]
fn a_form_token_of_another_session_is_refused() {
    let fixture = ConsoleFixture::new();
    let author = AuthorName::try_from("pekka").unwrap();
    let other = ConsoleSession::begin(author, NOW_MS).form_token(&fixture.token);
    let body = format!("form_token={other}&based_on=7&zone=rannikko-hki&state=out");
    let page = page_of(fixture.step(ConsoleMethod::Post, "/console/zones", &body));
    assert_eq!(page.status, 403);
}

#[test]
fn a_cookie_with_a_changed_author_or_end_is_refused() {
    let fixture = ConsoleFixture::new();
    let cookie = fixture.cookie();
    let forged = cookie.replacen("6d61696a61", "70656b6b61", 1);
    let extended = cookie.replacen("=1", "=2", 1);
    assert_ne!(forged, cookie);
    for cookie in [forged, extended] {
        let found = ConsoleSession::from_cookie(Some(&cookie), &fixture.token, NOW_MS);
        assert_eq!(found, None, "{cookie}");
    }
}

#[test_case(0, true; "at its beginning")]
#[test_case(28_799_999, true; "in its last millisecond")]
#[test_case(28_800_000, false; "after eight hours")]
fn a_session_ends(later_ms: u64, found: bool) {
    let fixture = ConsoleFixture::new();
    let cookie = fixture.cookie();
    let session = ConsoleSession::from_cookie(Some(&cookie), &fixture.token, NOW_MS + later_ms);
    assert_eq!(session.is_some(), found);
}

#[test_case(TOKEN, "maija", 303; "the token")]
#[test_case("0123456789abcdeX", "maija", 401; "another token")]
#[test_case(TOKEN, "", 422; "no name")]
fn signing_in_needs_the_token_and_a_name(token: &str, author: &str, status: u16) {
    let fixture = ConsoleFixture::new();
    let body = format!("token={token}&author={author}");
    let page = page_of(fixture.step(ConsoleMethod::Post, "/console/sign-in", &body));
    assert_eq!(
        (page.status, page.set_cookie.is_some()),
        (status, status == 303)
    );
    assert!(!page.body.contains(TOKEN));
}

#[test]
fn a_cookie_is_kept_from_scripts_and_other_sites() {
    let fixture = ConsoleFixture::new();
    let header = fixture.session.cookie(&fixture.token);
    assert!(header.ends_with("; Path=/console; HttpOnly; SameSite=Strict"));
}

#[test]
fn a_form_for_an_older_revision_shows_both_sides() {
    let mut fixture = ConsoleFixture::new();
    fixture.recent.push(RecordedChange {
        replaced: ConfigRevision::new(6),
        author: AuthorName::try_from("pekka").unwrap(),
        changed_unix_ms: NOW_MS,
        lines: vec!["[customer tailors] cpu_milli: 1 -> 64000".to_owned()],
    });
    let page = page_of(fixture.post("/console/zones", 6, "zone=rannikko-hki&state=out"));
    assert_eq!(page.status, 409);
    assert!(
        page.body
            .contains("<li>[customer tailors] cpu_milli: 1 -&gt; 64000")
    );
    assert!(
        page.body
            .contains("<li>[zone rannikko-hki] state: in -&gt; out")
    );
    assert!(page.body.contains("Change all the same, over revision 7"));
}

#[test]
fn after_a_conflict_the_change_is_offered_again_over_the_new_text() {
    let fixture = ConsoleFixture::new();
    let change = change_of(fixture.post("/console/zones", 7, "zone=rannikko-hki&state=out"));
    let winner = TEXT.replace("cpu_milli = 64000", "cpu_milli = 1");
    let current = DocumentView {
        revision: ConfigRevision::new(8),
        text: winner,
        ..fixture.view.clone()
    };
    let based_on = ConfigRevision::new(7);
    let conflict = DocumentConflict { based_on, current };
    let page = render_outcome(
        &change,
        &ConsoleOutcome::Conflict(conflict),
        &fixture.state(),
    );
    assert_eq!(page.status, 409);
    assert!(
        page.body
            .contains("<ul><li>[zone rannikko-hki] state: in -&gt; out</ul>")
    );
    assert!(page.body.contains("name=\"based_on\" value=\"8\""));
    assert!(page.body.contains("name=\"zone\" value=\"rannikko-hki\""));
}

#[test_case(true, 503, "Not run, nothing was changed: the store is out"; "not run")]
#[test_case(false, 504, "Unknown outcome: the store is out"; "unknown")]
fn a_failed_change_says_whether_it_was_run(not_run: bool, status: u16, expected: &str) {
    let fixture = ConsoleFixture::new();
    let body = "text=%5Bregion+kurzeme%5D%0D%0Alink_mbit+%3D+4%0D%0A&action=write";
    let change = change_of(fixture.post("/console/document", 7, body));
    let reason = "the store is out".to_owned();
    let outcome = ConsoleOutcome::Failed(CallRefusal { not_run, reason });
    let page = render_outcome(&change, &outcome, &fixture.state());
    assert_eq!(page.status, status);
    assert!(page.body.contains(expected), "{}", page.body);
    assert!(page.body.contains("[region kurzeme]"), "the text is lost");
}

#[test]
fn an_accepted_change_redirects_to_its_page() {
    let fixture = ConsoleFixture::new();
    let change = change_of(fixture.post("/console/zones", 7, "zone=rannikko-hki&state=out"));
    let revision = ConfigRevision::new(8);
    let outcome = ConsoleOutcome::Accepted(DocumentAccepted { revision });
    let page = render_outcome(&change, &outcome, &fixture.state());
    assert_eq!((page.status, page.location), (303, Some("/console/zones")));
}

#[test_case("/console"; "overview")]
#[test_case("/console/zones"; "zones")]
#[test_case("/console/services"; "services")]
#[test_case("/console/customers"; "customers")]
#[test_case("/console/document"; "document")]
#[test_case("/console/changes"; "changes")]
fn hostile_text_is_escaped_on_every_page(path: &str) {
    let mut fixture = ConsoleFixture::new();
    HOSTILE.clone_into(&mut fixture.view.author);
    fixture.view.text = format!("; {HOSTILE}</textarea>\n{TEXT}");
    fixture.session.author = AuthorName::try_from(HOSTILE).unwrap();
    fixture.recent.push(RecordedChange {
        replaced: ConfigRevision::new(6),
        author: AuthorName::try_from(HOSTILE).unwrap(),
        changed_unix_ms: NOW_MS,
        lines: vec![HOSTILE.to_owned()],
    });
    let page = fixture.show(path);
    assert_eq!(page.status, 200);
    assert!(page.body.contains(ESCAPED), "{}", page.body);
    assert!(!page.body.contains("<script"), "{}", page.body);
    assert!(page.body.matches("</textarea>").count() <= 1);
}

#[test]
fn hostile_form_values_are_escaped() {
    let body = "zone=%3Cscript%3E%22&state=%3Cscript%3E";
    let page = page_of(ConsoleFixture::new().post("/console/zones", 7, body));
    assert_eq!(page.status, 422);
    assert!(!page.body.contains("<script"), "{}", page.body);
}

#[test]
fn a_page_without_a_session_has_no_form() {
    let fixture = ConsoleFixture::new();
    let request = ConsoleRequest {
        method: ConsoleMethod::Get,
        path: "/console/zones",
        cookie: None,
        body: b"",
    };
    let page = page_of(handle_request(&request, &fixture.state()));
    assert!(page.body.contains("rannikko-hki") && !page.body.contains("<form"));
    assert!(page.body.contains("href=\"/console/sign-in\""));
}

#[test]
fn every_page_forbids_scripts() {
    let headers = ConsolePage::headers();
    let policy = headers
        .iter()
        .find(|(name, _)| *name == "Content-Security-Policy");
    assert!(
        policy
            .unwrap()
            .1
            .starts_with("default-src 'none'; style-src 'self';")
    );
}

#[test]
fn a_form_over_the_size_limit_is_refused() {
    let body = "x".repeat(ConsoleRequest::body_bytes_max("/console/zones"));
    let page = page_of(ConsoleFixture::new().post("/console/zones", 7, &body));
    assert_eq!(page.status, 413);
    let fields = "a=1&".repeat(33);
    assert!(FormFields::try_from(fields.as_bytes()).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(PROPERTY_SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_form_panics_or_injects_markup(
        bytes in proptest::collection::vec(any::<u8>(), 0..80),
        value in "[<>\"'&=a-z%0-9]{0,40}",
    ) {
        let fixture = ConsoleFixture::new();
        for path in ["/console/zones", "/console/services", "/console/customers"] {
            let raw = String::from_utf8_lossy(&bytes);
            let body = format!("zone={value}&service={value}&customer={value}&slots={value}&{raw}");
            if let ConsoleStep::Page(page) = fixture.post(path, 7, &body) {
                prop_assert!(!page.body.contains("<script"));
            }
        }
    }

    #[test]
    fn no_cookie_panics(header in ".{0,80}") {
        let fixture = ConsoleFixture::new();
        let found = ConsoleSession::from_cookie(Some(&header), &fixture.token, NOW_MS);
        prop_assert!(found.is_none());
        let named = format!("sapphirestile={header}");
        let found = ConsoleSession::from_cookie(Some(&named), &fixture.token, NOW_MS);
        prop_assert!(found.is_none());
    }
}
