//! A stand-in's reply.

use oxhttp::model::HeaderMap;
use oxhttp::model::HeaderName;
use oxhttp::model::HeaderValue;
use oxhttp::model::header::CONTENT_TYPE;
use serde::Serialize;

use crate::serving::ReplyEnding;

/// A reply and how much of it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StandinReply {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Vec<u8>,
    /// How much is sent.
    pub ending: ReplyEnding,
}

impl StandinReply {
    /// A whole reply with a JSON body.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_standins::serving::StandinReply;
    ///
    /// let reply = StandinReply::json(200, &[1, 2]);
    /// assert_eq!(reply.body, b"[1,2]");
    /// ```
    ///
    /// # Panics
    ///
    /// When the body cannot be written as JSON.
    #[must_use]
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).expect("a reply is written as JSON");
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Self {
            status,
            headers,
            body,
            ending: ReplyEnding::Whole,
        }
    }

    /// A whole reply with a body of plain bytes.
    #[must_use]
    pub fn plain(status: u16, body: &[u8]) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: body.to_vec(),
            ending: ReplyEnding::Whole,
        }
    }

    /// A reply of which nothing is sent.
    #[must_use]
    pub fn dropped() -> Self {
        Self {
            ending: ReplyEnding::Dropped,
            ..Self::plain(200, b"")
        }
    }

    /// The same reply with one more header.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: HeaderValue) -> Self {
        self.headers.append(HeaderName::from_static(name), value);
        self
    }

    /// The same reply, sent as far as `ending` says.
    #[must_use]
    pub fn with_ending(self, ending: ReplyEnding) -> Self {
        Self { ending, ..self }
    }
}
