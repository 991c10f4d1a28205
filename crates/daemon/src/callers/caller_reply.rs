//! What a caller is answered.

use crate::serving::BodyFault;
use crate::serving::HttpReply;
use sapphirestile_platform::http::HttpAnswer;
use sapphirestile_routing::RouteRefusal;

const OUTCOME_HEADER: &str = "x-outcome";
const CONNECTION_HEADERS: [&str; 4] = [
    "connection",
    "content-length",
    "keep-alive",
    "transfer-encoding",
];

/// What a caller is answered.
#[derive(Debug)]
pub enum CallerReply {
    /// The runner's whole answer.
    Answered(Box<HttpAnswer>),
    /// The request was not run, for certain.
    NotRun(RouteRefusal),
    /// The request has the key of one that was sent before; it was not sent again.
    AlreadySent,
    /// The request may have run; it is not tried again.
    Unknown,
    /// The request was not understood, and not run.
    BadRequest(&'static str),
    /// The request is larger than allowed, and was not run.
    TooLarge,
    /// The body of the request arrived too slowly, and the request was not run.
    TooSlow,
}

impl CallerReply {
    /// The reply to a request whose body was not taken.
    #[must_use]
    pub const fn of_body(fault: BodyFault) -> Self {
        match fault {
            BodyFault::Broken => Self::BadRequest("the body did not arrive whole"),
            BodyFault::TooLarge => Self::TooLarge,
            BodyFault::TooSlow => Self::TooSlow,
        }
    }

    /// The reply over HTTP.
    #[must_use]
    pub fn into_http(self) -> HttpReply {
        match self {
            Self::Answered(answer) => answer_reply(*answer),
            Self::NotRun(RouteRefusal::NoService) => refusal(404, "not-run", "no such service"),
            Self::NotRun(RouteRefusal::NoRecord) => {
                // Without the record nothing is known of earlier tries with its key.
                let reason = "this try was not sent; its key could not be recorded, \
                              and earlier tries with the key are not known of";
                refusal(503, "not-run", reason).with_header("retry-after", "1")
            }
            Self::NotRun(reason) => {
                refusal(503, "not-run", &reason.to_string()).with_header("retry-after", "1")
            }
            Self::AlreadySent => refusal(
                409,
                "unknown",
                "a request with this key was recorded before and may have been sent",
            ),
            Self::Unknown => refusal(504, "unknown", "the runner's answer did not arrive"),
            Self::BadRequest(reason) => refusal(400, "not-run", reason),
            Self::TooLarge => refusal(413, "not-run", "the request is larger than allowed"),
            Self::TooSlow => refusal(408, "not-run", "the body arrived too slowly"),
        }
    }
}

fn refusal(status: u16, outcome: &str, reason: &str) -> HttpReply {
    let body = serde_json::json!({ "outcome": outcome, "of": "this try", "reason": reason });
    HttpReply::json(status, &body).with_header(OUTCOME_HEADER, outcome)
}

fn answer_reply(answer: HttpAnswer) -> HttpReply {
    let kept = |name: &str| !CONNECTION_HEADERS.contains(&name);
    let headers = answer
        .headers
        .iter()
        .filter(|(name, _)| kept(name.as_str()))
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect();
    HttpReply {
        status: answer.status,
        headers,
        body: answer.body,
    }
}
