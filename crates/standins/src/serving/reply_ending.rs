//! How much of a reply is sent.

/// How much of a reply is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyEnding {
    /// All of it.
    Whole,
    /// The headers and less than the body; then the connection is closed.
    Truncated,
    /// Nothing: the connection is closed.
    Dropped,
}
