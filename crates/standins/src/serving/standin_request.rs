//! An HTTP request to a stand-in.

use oxhttp::model::HeaderMap;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::serving::StandinResponse;

/// An HTTP request, borrowed from its connection.
#[derive(Clone, Copy, Debug)]
pub struct StandinRequest<'a> {
    /// The method, such as `GET`.
    pub method: &'a str,
    /// The path of the URL, without the query.
    pub path: &'a str,
    /// The headers of the request.
    pub headers: &'a HeaderMap,
    /// The whole body, without its transfer encoding; at most 16 MiB.
    pub body: &'a [u8],
    /// Whether no earlier request came on the same connection.
    pub is_first_on_connection: bool,
}

impl<'a> StandinRequest<'a> {
    /// Parses the JSON body and returns the response of `respond` to it, or a response with
    /// status 400 when the body cannot be parsed.
    pub fn respond_json<T: Deserialize<'a>>(
        &self,
        respond: impl FnOnce(T) -> StandinResponse,
    ) -> StandinResponse {
        match serde_json::from_slice(self.body) {
            Ok(body) => respond(body),
            Err(error) => StandinResponse::plain(400, error.to_string().as_bytes()),
        }
    }

    /// Parses the JSON body, passes it to `accept` and responds with status 200 and `{}`, or
    /// with status 400 when the body cannot be parsed.
    pub fn accept_json<T: DeserializeOwned>(&self, accept: impl FnOnce(T)) -> StandinResponse {
        self.respond_json(|body| {
            accept(body);
            StandinResponse::plain(200, b"{}")
        })
    }
}
