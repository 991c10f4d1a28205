//! HTTP answers.

use oxhttp::model::Body;
use oxhttp::model::Response;
use oxhttp::model::StatusCode;
use oxhttp::model::header::CONTENT_TYPE;
use serde::Serialize;

const MS_PER_S: u64 = 1_000;

/// An HTTP answer: status, headers and body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpReply {
    /// The status code; an invalid one is sent as 502.
    pub status: u16,
    /// The headers, without the content length.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl HttpReply {
    /// Creates an answer with a JSON body.
    ///
    /// # Panics
    ///
    /// When the value cannot be encoded, for example a map with keys that are not
    /// strings.
    #[must_use]
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        let body = serde_json::to_vec(value).expect("answer types can always be encoded");
        Self::new(status, "application/json", body)
    }

    /// Creates an answer with a body of content type `content`.
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

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers
            .push((name.to_owned(), value.as_bytes().to_vec()));
        self
    }

    /// Adds a `retry-after` header of `wait_ms`, rounded up to seconds.
    #[must_use]
    pub fn with_retry_after(self, wait_ms: u64) -> Self {
        let seconds = wait_ms.div_ceil(MS_PER_S);
        self.with_header("retry-after", &seconds.to_string())
    }

    /// Converts the answer to a response of the HTTP library. A response with an
    /// invalid header is replaced by an empty 502.
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
