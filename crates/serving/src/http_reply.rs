//! Answers over HTTP.

use oxhttp::model::Body;
use oxhttp::model::Response;
use oxhttp::model::StatusCode;
use oxhttp::model::header::CONTENT_TYPE;
use serde::Serialize;

const MS_PER_S: u64 = 1_000;

/// An answer: status, headers and body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpReply {
    /// The status.
    pub status: u16,
    /// Headers beside the length of the body.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpReply {
    /// An answer with a JSON body.
    ///
    /// # Panics
    ///
    /// When the value cannot be encoded, which a value of ours always can.
    #[must_use]
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        let body = serde_json::to_vec(value).expect("an answer is always encodable");
        Self::new(status, "application/json", body)
    }

    /// An answer with a body of a content type.
    #[must_use]
    pub fn new(status: u16, content: &str, body: Vec<u8>) -> Self {
        let headers = vec![(
            CONTENT_TYPE.as_str().to_owned(),
            content.as_bytes().to_vec(),
        )];
        Self {
            status,
            headers,
            body,
        }
    }

    /// The answer with a header added.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers
            .push((name.to_owned(), value.as_bytes().to_vec()));
        self
    }

    /// The answer with the seconds after which to try again, rounded up.
    #[must_use]
    pub fn with_retry_after(self, wait_ms: u64) -> Self {
        let seconds = wait_ms.div_ceil(MS_PER_S);
        self.with_header("retry-after", &seconds.to_string())
    }

    /// The answer as the HTTP library takes it.
    #[must_use]
    pub fn into_response(self) -> Response<Body> {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Response::builder().status(status);
        for (name, value) in &self.headers {
            response = response.header(name.as_str(), value.as_slice());
        }
        response.body(Body::from(self.body)).unwrap_or_else(|_| {
            let mut response = Response::new(Body::from(Vec::new()));
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response
        })
    }
}
