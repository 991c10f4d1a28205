//! An HTTP response of a stand-in.

use oxhttp::model::HeaderMap;
use oxhttp::model::HeaderName;
use oxhttp::model::HeaderValue;
use oxhttp::model::header::CONTENT_TYPE;
use serde::Serialize;

use crate::serving::ResponseEnding;

/// An HTTP response, and how much of it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StandinResponse {
    /// The status code; sent as 500 when it is not a valid one.
    pub status: u16,
    /// The headers; the server adds those that describe the connection and the length.
    pub headers: HeaderMap,
    /// The whole body, also when only a part of it is sent.
    pub body: Vec<u8>,
    /// How much of the response is sent.
    pub ending: ResponseEnding,
}

impl StandinResponse {
    /// A complete response with a JSON body and its content type.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_standins::serving::StandinResponse;
    ///
    /// let response = StandinResponse::json(200, &[1, 2]);
    /// assert_eq!(response.body, b"[1,2]");
    /// ```
    ///
    /// # Panics
    ///
    /// When the body cannot be serialized as JSON.
    #[must_use]
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).expect("serialize a response body as JSON");
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Self {
            status,
            headers,
            body,
            ending: ResponseEnding::Complete,
        }
    }

    /// A complete response with a body of raw bytes and no content type.
    #[must_use]
    pub fn plain(status: u16, body: &[u8]) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: body.to_vec(),
            ending: ResponseEnding::Complete,
        }
    }

    /// A response that is not sent: the connection is closed instead.
    #[must_use]
    pub fn dropped() -> Self {
        Self {
            ending: ResponseEnding::Dropped,
            ..Self::plain(200, b"")
        }
    }

    /// Adds a header, also when one of that name is present. `name` has to be in lower case.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: HeaderValue) -> Self {
        self.headers.append(HeaderName::from_static(name), value);
        self
    }

    /// Sets how much of the response is sent.
    #[must_use]
    pub fn with_ending(self, ending: ResponseEnding) -> Self {
        Self { ending, ..self }
    }
}
