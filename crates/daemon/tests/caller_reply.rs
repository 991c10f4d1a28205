//! The HTTP reply that a caller gets for each outcome.

use serde_json::Value;
use test_case::test_case;

use sapphirestile_daemon::callers::CallerReply;
use sapphirestile_daemon::serving::BodyError;
use sapphirestile_routing::RouteRefusal;

#[test_case(CallerReply::NotRun(RouteRefusal::NoService), 404, "not-run", false; "no service")]
#[test_case(CallerReply::NotRun(RouteRefusal::NoRunner), 503, "not-run", true; "no runner")]
#[test_case(CallerReply::NotRun(RouteRefusal::NoSlot), 503, "not-run", true; "no slot")]
#[test_case(CallerReply::NotRun(RouteRefusal::DeadlinePassed), 503, "not-run", true; "too late")]
#[test_case(CallerReply::NotRun(RouteRefusal::Shed), 503, "not-run", true; "shed")]
#[test_case(CallerReply::NotRun(RouteRefusal::NoRecord), 503, "not-run", true; "no record")]
#[test_case(CallerReply::NotRun(RouteRefusal::RunnerDeclined), 503, "not-run", true; "declined")]
#[test_case(CallerReply::NotRun(RouteRefusal::Stopping), 503, "not-run", true; "stopping")]
#[test_case(CallerReply::from_body_error(BodyError::Broken), 400, "not-run", false; "a broken body")]
#[test_case(CallerReply::from_body_error(BodyError::TooLarge), 413, "not-run", false; "a large body")]
#[test_case(CallerReply::from_body_error(BodyError::TooSlow), 408, "not-run", false; "a slow body")]
#[test_case(CallerReply::BadRequest("why"), 400, "not-run", false; "a bad request")]
#[test_case(CallerReply::AlreadySent, 409, "unknown", false; "sent before")]
#[test_case(CallerReply::Unknown, 504, "unknown", false; "unknown")]
fn a_reply_has_its_status_outcome_and_reason(
    reply: CallerReply,
    status: u16,
    outcome: &str,
    has_retry_after: bool,
) {
    let answer = reply.into_http();
    let header = |wanted: &str| {
        let found = answer.headers.iter().find(|(name, _)| name == wanted);
        found.map(|(_, value)| String::from_utf8_lossy(value).into_owned())
    };
    assert_eq!(answer.status, status);
    assert_eq!(header("x-outcome").as_deref(), Some(outcome));
    assert_eq!(header("retry-after").is_some(), has_retry_after);
    let body: Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(body["outcome"], outcome);
    // Only the reason may say anything about earlier tries with the same key.
    assert_eq!(body["of"], "this try");
    assert!(
        body["reason"]
            .as_str()
            .is_some_and(|reason| !reason.is_empty())
    );
}
