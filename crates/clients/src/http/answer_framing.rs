//! How an answer says where it ends.

use ureq::http::HeaderMap;
use ureq::http::Method;
use ureq::http::StatusCode;
use ureq::http::Version;
use ureq::http::header::CONTENT_LENGTH;
use ureq::http::header::TRANSFER_ENCODING;
use ureq::http::response::Parts;

/// How an answer says where it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerFraming {
    /// The answer has no body.
    Bodyless,
    /// The answer announces the length of its body.
    Announced,
    /// The answer marks the end of its body.
    Chunked,
    /// The answer does not say, or says it in two ways: whether it is whole
    /// cannot be known.
    Unclear,
}

impl AnswerFraming {
    /// The framing of an answer to a request of `method`.
    pub(crate) fn of(method: &Method, parts: &Parts) -> Self {
        if *method == Method::HEAD || has_no_body(parts.status) {
            return Self::Bodyless;
        }
        let announced = parts.headers.get_all(CONTENT_LENGTH).iter().count();
        let encoded = parts.headers.get_all(TRANSFER_ENCODING).iter().count();
        match (announced, encoded) {
            (1, 0) => Self::Announced,
            (0, 1) if parts.version == Version::HTTP_11 && is_chunked(&parts.headers) => {
                Self::Chunked
            }
            _ => Self::Unclear,
        }
    }
}

fn has_no_body(status: StatusCode) -> bool {
    status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let encoding = headers.get(TRANSFER_ENCODING);
    encoding.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"))
}
