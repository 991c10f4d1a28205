//! The refusal of a caller's request.

use std::borrow::Cow;

use serde::Serialize;

use crate::serving::HttpReply;

const OUTCOME_HEADER: &str = "x-outcome";
const RETRY_AFTER_S: &str = "1";
const STATUS_UNAVAILABLE: u16 = 503;

/// The reply to a request for which there is no response of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallerRefusal {
    /// The HTTP status.
    pub status: u16,
    /// `not-run` if the request certainly did not run, otherwise `unknown`.
    pub outcome: &'static str,
    /// The reason, which the caller sees.
    pub reason: Cow<'static, str>,
}

impl CallerRefusal {
    /// The HTTP reply: a JSON body, the outcome also as a header, and `retry-after` with
    /// status 503.
    #[must_use]
    pub fn into_http(self) -> HttpReply {
        let Self {
            status,
            outcome,
            reason,
        } = self;
        let body = serde_json::json!({ "outcome": outcome, "of": "this try", "reason": reason });
        let reply = HttpReply::json(status, &body).with_header(OUTCOME_HEADER, outcome);
        if status == STATUS_UNAVAILABLE {
            return reply.with_header("retry-after", RETRY_AFTER_S);
        }
        reply
    }
}
