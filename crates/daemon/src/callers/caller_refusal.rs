//! What a caller is told of a request without an answer.

use std::borrow::Cow;

use serde::Serialize;

use crate::serving::HttpReply;

const OUTCOME_HEADER: &str = "x-outcome";
const RETRY_AFTER_S: &str = "1";
const STATUS_TRY_AGAIN: u16 = 503;

/// What a caller is told of a request without an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallerRefusal {
    /// The status of the reply.
    pub status: u16,
    /// Whether it is certain that nothing ran: `not-run` or `unknown`.
    pub outcome: &'static str,
    /// Why.
    pub reason: Cow<'static, str>,
}

impl CallerRefusal {
    /// The refusal over HTTP.
    #[must_use]
    pub fn into_http(self) -> HttpReply {
        let Self {
            status,
            outcome,
            reason,
        } = self;
        let body = serde_json::json!({ "outcome": outcome, "of": "this try", "reason": reason });
        let reply = HttpReply::json(status, &body).with_header(OUTCOME_HEADER, outcome);
        if status == STATUS_TRY_AGAIN {
            return reply.with_header("retry-after", RETRY_AFTER_S);
        }
        reply
    }
}
