//! A request to forward to a runner.

use crate::http::HeaderView;

/// A request, borrowed from the connection on which it was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunnerRequest<'a> {
    /// The request id that the runner has to echo; not empty and never reused.
    pub id: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// The path and optional query, starting with `/`.
    pub path: &'a str,
    /// The caller's headers; those that apply only to the connection are not forwarded.
    pub headers: &'a [HeaderView<'a>],
    /// The body; may be empty.
    pub body: &'a [u8],
}
