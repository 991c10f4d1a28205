//! A call to a stand-in.

use oxhttp::model::HeaderMap;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::serving::StandinReply;

/// A call, borrowed from its connection.
#[derive(Clone, Copy, Debug)]
pub struct StandinCall<'a> {
    /// The method.
    pub method: &'a str,
    /// The path, without its query.
    pub path: &'a str,
    /// The headers.
    pub headers: &'a HeaderMap,
    /// The body.
    pub body: &'a [u8],
    /// Whether it is the first call of its connection.
    pub opens_connection: bool,
}

impl<'a> StandinCall<'a> {
    /// Reads the JSON body and replies as `answer` does, or with status 400 when
    /// the body is not understood.
    pub fn answer_json<T: Deserialize<'a>>(
        &self,
        answer: impl FnOnce(T) -> StandinReply,
    ) -> StandinReply {
        match serde_json::from_slice(self.body) {
            Ok(body) => answer(body),
            Err(error) => StandinReply::plain(400, error.to_string().as_bytes()),
        }
    }

    /// Hands the JSON body to `take`, and replies with status 200 and `{}`, or
    /// with status 400 when the body is not understood.
    pub fn take_json<T: DeserializeOwned>(&self, take: impl FnOnce(T)) -> StandinReply {
        self.answer_json(|body| {
            take(body);
            StandinReply::plain(200, b"{}")
        })
    }
}
