//! The reply to a caller.

use std::borrow::Cow;

use crate::callers::CallerRefusal;
use crate::serving::BodyError;
use crate::serving::HttpReply;
use sapphirestile_clients::http::HttpResponse;
use sapphirestile_routing::RouteRefusal;

const NOT_RUN: &str = "not-run";
const UNKNOWN: &str = "unknown";
const HOP_BY_HOP_HEADERS: [&str; 4] = [
    "connection",
    "content-length",
    "keep-alive",
    "transfer-encoding",
];

/// The reply to a caller's request.
#[derive(Debug)]
pub enum CallerReply {
    /// The runner's complete response.
    Answered(Box<HttpResponse>),
    /// The request certainly did not run.
    NotRun(RouteRefusal),
    /// An earlier request with the same idempotency key was recorded and may have been
    /// sent; this one was not sent.
    AlreadySent,
    /// The request may have run and is not sent again.
    Unknown,
    /// The request is invalid, for this reason, and was not run.
    BadRequest(&'static str),
    /// The body is longer than `caller_body_bytes`; the request was not run.
    TooLarge,
    /// The body arrived too slowly; the request was not run.
    TooSlow,
}

impl CallerReply {
    /// The reply to a request whose body could not be read.
    #[must_use]
    pub const fn from_body_error(error: BodyError) -> Self {
        match error {
            BodyError::Broken => Self::BadRequest("the body did not arrive whole"),
            BodyError::TooLarge => Self::TooLarge,
            BodyError::TooSlow => Self::TooSlow,
        }
    }

    /// The runner's response.
    ///
    /// # Errors
    ///
    /// The refusal to send to the caller if there is no response.
    pub fn into_response(self) -> Result<Box<HttpResponse>, CallerRefusal> {
        let refusal = match self {
            Self::Answered(response) => return Ok(response),
            Self::NotRun(RouteRefusal::NoService) => not_run(404, "no such service"),
            // Without access to the record, earlier requests with the same key are unknown.
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

    /// The HTTP reply. A runner's response is passed on without the headers that apply to
    /// its connection only.
    #[must_use]
    pub fn into_http(self) -> HttpReply {
        match self.into_response() {
            Ok(response) => forwarded_reply(*response),
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

fn forwarded_reply(response: HttpResponse) -> HttpReply {
    let kept = |name: &str| !HOP_BY_HOP_HEADERS.contains(&name);
    let headers = response
        .headers
        .iter()
        .filter(|(name, _)| kept(name.as_str()))
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect();
    HttpReply {
        status: response.status,
        headers,
        body: response.body,
    }
}
