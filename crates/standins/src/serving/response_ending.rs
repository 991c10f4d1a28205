//! How much of a response is sent.

/// How much of a response is sent. Unless it is complete, the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnding {
    /// The whole response.
    Complete,
    /// The headers and the first half of the body.
    Truncated,
    /// Nothing.
    Dropped,
}
