//! How important a request is.

/// How important a request is; the first is served first and shed last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// Someone waits for the answer.
    Interactive,
    /// An ordinary request.
    Standard,
    /// Bulk work that can wait.
    Bulk,
}
