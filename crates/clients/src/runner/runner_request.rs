//! What is forwarded to a runner.

use crate::http::HeaderView;

/// A request, borrowed from the connection that it came in on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunnerRequest<'a> {
    /// What the runner has to echo; not empty, and never used twice.
    pub id: &'a str,
    /// The method.
    pub method: &'a str,
    /// The path, with its query if any, beginning with `/`.
    pub path: &'a str,
    /// The caller's headers; those that concern one connection only are left out.
    pub headers: &'a [HeaderView<'a>],
    /// The body.
    pub body: &'a [u8],
}
