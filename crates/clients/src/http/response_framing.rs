//! The framing of response bodies.

use ureq::http::HeaderMap;
use ureq::http::Method;
use ureq::http::StatusCode;
use ureq::http::Version;
use ureq::http::header::CONTENT_LENGTH;
use ureq::http::header::TRANSFER_ENCODING;
use ureq::http::response::Parts;

/// How the end of a response body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseFraming {
    /// The response has no body.
    Bodyless,
    /// The length is given in advance by a `Content-Length` header.
    ContentLength,
    /// The end is marked by the last chunk of the chunked transfer encoding.
    Chunked,
    /// No framing or conflicting ones are given, so a truncated response could not be
    /// detected.
    Ambiguous,
}

impl ResponseFraming {
    /// Determines the framing of the response to a request with `method`.
    pub(crate) fn of(method: &Method, parts: &Parts) -> Self {
        if *method == Method::HEAD || has_no_body(parts.status) {
            return Self::Bodyless;
        }
        let lengths = parts.headers.get_all(CONTENT_LENGTH).iter().count();
        let encodings = parts.headers.get_all(TRANSFER_ENCODING).iter().count();
        match (lengths, encodings) {
            (1, 0) => Self::ContentLength,
            (0, 1) if parts.version == Version::HTTP_11 && is_chunked(&parts.headers) => {
                Self::Chunked
            }
            _ => Self::Ambiguous,
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
