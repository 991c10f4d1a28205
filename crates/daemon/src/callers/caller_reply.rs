//! What a caller is answered.

use std::borrow::Cow;

use crate::callers::CallerRefusal;
use crate::serving::BodyError;
use crate::serving::HttpReply;
use sapphirestile_clients::http::HttpResponse;
use sapphirestile_routing::RouteRefusal;

const NOT_RUN: &str = "not-run";
const UNKNOWN: &str = "unknown";
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
    Answered(Box<HttpResponse>),
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
    pub const fn of_body(fault: BodyError) -> Self {
        match fault {
            BodyError::Broken => Self::BadRequest("the body did not arrive whole"),
            BodyError::TooLarge => Self::TooLarge,
            BodyError::TooSlow => Self::TooSlow,
        }
    }

    /// The runner's answer.
    ///
    /// # Errors
    ///
    /// What the caller is told when there is none.
    pub fn into_answer(self) -> Result<Box<HttpResponse>, CallerRefusal> {
        let refusal = match self {
            Self::Answered(answer) => return Ok(answer),
            Self::NotRun(RouteRefusal::NoService) => not_run(404, "no such service"),
            // Without the record nothing is known of earlier tries with its key.
            Self::NotRun(RouteRefusal::NoRecord) => not_run(
                503,
                "this try was not sent; its key could not be recorded, \
                 and earlier tries with the key are not known of",
            ),
            Self::NotRun(reason) => CallerRefusal {
                status: 503,
                outcome: NOT_RUN,
                reason: reason.to_string().into(),
            },
            Self::AlreadySent => unknown(
                409,
                "a request with this key was recorded before and may have been sent",
            ),
            Self::Unknown => unknown(504, "the runner's answer did not arrive"),
            Self::BadRequest(reason) => not_run(400, reason),
            Self::TooLarge => not_run(413, "the request is larger than allowed"),
            Self::TooSlow => not_run(408, "the body arrived too slowly"),
        };
        Err(refusal)
    }

    /// The reply over HTTP.
    #[must_use]
    pub fn into_http(self) -> HttpReply {
        match self.into_answer() {
            Ok(answer) => answer_reply(*answer),
            Err(refusal) => refusal.into_http(),
        }
    }
}

const fn not_run(status: u16, reason: &'static str) -> CallerRefusal {
    CallerRefusal {
        status,
        outcome: NOT_RUN,
        reason: Cow::Borrowed(reason),
    }
}

const fn unknown(status: u16, reason: &'static str) -> CallerRefusal {
    CallerRefusal {
        status,
        outcome: UNKNOWN,
        reason: Cow::Borrowed(reason),
    }
}

fn answer_reply(answer: HttpResponse) -> HttpReply {
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
