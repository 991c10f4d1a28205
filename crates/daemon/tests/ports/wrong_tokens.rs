use serde_json::Value;
use serde_json::json;

use crate::support::PortScene;
use crate::support::submission;
use sapphirestile_clients::http::HttpResponse;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::TOKEN;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

/// One more than are looked at.
const GUESSES: usize = 11;
const WRONG: &str = "a-guess-of-26-characters";
const GUESS: &str = "Bearer a-guess-of-26-characters";

/// Wrong tokens are soon not looked at any more, whether in calls or in the form of
/// the console; the right one is heard again although the guesses go on.
#[test]
fn wrong_tokens_are_slowed_down() {
    let scene = PortScene::set("wrong_tokens", FleetPlan::default());
    assert_eq!(submit(&scene, GUESS).status, 401);
    let refused = guess_until_refused(&scene);
    let refusal: Value = serde_json::from_slice(&refused.body).expect("a refusal is JSON");
    assert_eq!(refusal["not_run"], true);
    wait_until("the right token is not looked at either", || {
        guess_until_refused(&scene);
        let answer = sign_in(&scene, TOKEN);
        assert!([303, 429].contains(&answer.status), "{}", answer.status);
        (answer.status == 429).then_some(())
    });
    // Reading needs no token, and a call without one is no guess.
    guess_until_refused(&scene);
    let (status, jobs) = call_json(scene.daemon.operators(), "GET", "/v1/jobs", &Value::Null)
        .expect("a read is answered");
    assert_eq!((status, jobs), (200, json!([])));
    assert_eq!(submit(&scene, "").status, 401);
    wait_until("the right token is heard among guesses", || {
        submit(&scene, GUESS);
        (submit(&scene, &format!("Bearer {TOKEN}")).status == 200).then_some(())
    });
    scene.assert_serves("after-wrong-tokens");
}

/// The console's form counts with the calls.
#[test]
fn wrong_tokens_are_slowed_down_at_the_console() {
    let scene = PortScene::set("wrong_sign_ins", FleetPlan::default());
    assert_eq!(sign_in(&scene, WRONG).status, 401);
    let refused = wait_until("wrong tokens are not looked at", || {
        let answers = (0..GUESSES).map(|_| sign_in(&scene, WRONG));
        answers.last().filter(|answer| answer.status == 429)
    });
    assert_waits(&refused);
    assert!(refused.sole_header("set-cookie").is_none());
    wait_until("the right token is heard", || {
        (sign_in(&scene, TOKEN).status == 303).then_some(())
    });
}

fn guess_until_refused(scene: &PortScene) -> HttpResponse {
    let refused = wait_until("wrong tokens are not looked at", || {
        let answers = (0..GUESSES).map(|_| submit(scene, GUESS));
        answers.last().filter(|answer| answer.status == 429)
    });
    assert_waits(&refused);
    refused
}

fn assert_waits(refused: &HttpResponse) {
    let wait = refused.sole_header("retry-after");
    assert!(wait == Some(b"1") || wait == Some(b"2"), "{wait:?}");
}

fn submit(scene: &PortScene, authorization: &str) -> HttpResponse {
    let body = submission("patterns", 1).to_string();
    let headers = [("authorization", authorization)];
    let operators = scene.daemon.operators();
    call(operators, "POST", "/v1/jobs", &headers, body.as_bytes()).expect("the call is answered")
}

fn sign_in(scene: &PortScene, token: &str) -> HttpResponse {
    let body = format!("author=maija&token={token}");
    let operators = scene.daemon.operators();
    let path = "/console/sign-in";
    call(operators, "POST", path, &[], body.as_bytes()).expect("the form is answered")
}
