//! The request of an HTTP call.

use crate::http::HeaderView;

/// A request, borrowed from its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRequest<'a> {
    /// The HTTP method, such as `POST`.
    pub method: &'a str,
    /// The path and optional query, starting with `/`.
    pub path: &'a str,
    /// The headers, without those for the framing of the body.
    pub headers: &'a [HeaderView<'a>],
    /// The body; may be empty.
    pub body: &'a [u8],
}

impl<'a> CallRequest<'a> {
    /// Creates a `POST` request with a JSON body.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_clients::http::CallRequest;
    ///
    /// let request = CallRequest::post_json("/v3/kv/range", b"{}");
    /// assert_eq!(request.method, "POST");
    /// assert_eq!(request.headers[0].name, "content-type");
    /// ```
    #[must_use]
    pub const fn post_json(path: &'a str, body: &'a [u8]) -> Self {
        Self {
            method: "POST",
            path,
            headers: &[HeaderView {
                name: "content-type",
                value: b"application/json",
            }],
            body,
        }
    }

    /// Creates a `GET` request without headers.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_clients::http::CallRequest;
    ///
    /// assert_eq!(CallRequest::get("/v1/vms").method, "GET");
    /// ```
    #[must_use]
    pub const fn get(path: &'a str) -> Self {
        Self {
            method: "GET",
            path,
            headers: &[],
            body: b"",
        }
    }
}
