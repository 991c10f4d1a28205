//! Bytes of a request and its response.

/// Bytes of a session's request and of its response, either of the whole messages or only
/// of their heads or bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeBytes {
    /// Bytes of the request.
    pub request: usize,
    /// Bytes of the response.
    pub response: usize,
}
