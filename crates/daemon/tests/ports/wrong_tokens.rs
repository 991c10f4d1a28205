use serde_json::Value;
use serde_json::json;

use crate::support::DaemonFixture;
use crate::support::job_body;
use sapphirestile_clients::http::HttpResponse;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::TOKEN;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

/// One more than the wrong tokens that the daemon checks in a row.
const GUESSES: usize = 11;
const WRONG_TOKEN: &str = "a-guess-of-26-characters";
const WRONG_AUTHORIZATION: &str = "Bearer a-guess-of-26-characters";

/// After several wrong tokens the daemon must refuse to check further ones for a while,
/// whether in calls or in the sign-in form of the console. The right token must be accepted
/// again although the guesses continue.
#[test]
fn wrong_tokens_are_rate_limited() {
    let fixture = DaemonFixture::start("wrong_tokens", FleetPlan::default());
    assert_eq!(submit(&fixture, WRONG_AUTHORIZATION).status, 401);
    let refused = guess_until_refused(&fixture);
    let refusal: Value = serde_json::from_slice(&refused.body).expect("a refusal is JSON");
    assert_eq!(refusal["not_run"], true);
    wait_until("the right token is not checked either", || {
        guess_until_refused(&fixture);
        let answer = sign_in(&fixture, TOKEN);
        assert!([303, 429].contains(&answer.status), "{}", answer.status);
        (answer.status == 429).then_some(())
    });
    // Reads need no token, and a call without a token does not count as a guess.
    guess_until_refused(&fixture);
    let (status, jobs) = call_json(fixture.daemon.operators(), "GET", "/v1/jobs", &Value::Null)
        .expect("the daemon responds to a read");
    assert_eq!((status, jobs), (200, json!([])));
    assert_eq!(submit(&fixture, "").status, 401);
    wait_until("the right token is heard among guesses", || {
        submit(&fixture, WRONG_AUTHORIZATION);
        (submit(&fixture, &format!("Bearer {TOKEN}")).status == 200).then_some(())
    });
    fixture.assert_serves("after-wrong-tokens");
}

/// Wrong tokens in the console's sign-in form must be limited too.
#[test]
fn wrong_tokens_are_rate_limited_at_the_console() {
    let fixture = DaemonFixture::start("wrong_sign_ins", FleetPlan::default());
    assert_eq!(sign_in(&fixture, WRONG_TOKEN).status, 401);
    let refused = wait_until("wrong tokens are no longer checked", || {
        let answers = (0..GUESSES).map(|_| sign_in(&fixture, WRONG_TOKEN));
        answers.last().filter(|answer| answer.status == 429)
    });
    assert_retry_after(&refused);
    assert!(refused.sole_header("set-cookie").is_none());
    wait_until("the right token is accepted", || {
        (sign_in(&fixture, TOKEN).status == 303).then_some(())
    });
}

fn guess_until_refused(fixture: &DaemonFixture) -> HttpResponse {
    let refused = wait_until("wrong tokens are no longer checked", || {
        let answers = (0..GUESSES).map(|_| submit(fixture, WRONG_AUTHORIZATION));
        answers.last().filter(|answer| answer.status == 429)
    });
    assert_retry_after(&refused);
    refused
}

/// Checks that a refusal asks to wait 1 s or 2 s.
fn assert_retry_after(refused: &HttpResponse) {
    let wait = refused.sole_header("retry-after");
    assert!(wait == Some(b"1") || wait == Some(b"2"), "{wait:?}");
}

fn submit(fixture: &DaemonFixture, authorization: &str) -> HttpResponse {
    let body = job_body("patterns", 1).to_string();
    let headers = [("authorization", authorization)];
    let operators = fixture.daemon.operators();
    call(operators, "POST", "/v1/jobs", &headers, body.as_bytes()).expect("the daemon responds")
}

fn sign_in(fixture: &DaemonFixture, token: &str) -> HttpResponse {
    let body = format!("author=maija&token={token}");
    let operators = fixture.daemon.operators();
    let path = "/console/sign-in";
    call(operators, "POST", path, &[], body.as_bytes()).expect("the daemon responds to the form")
}
