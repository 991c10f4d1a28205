//! Bytes of a call and of its answer.

/// Bytes of a session's request and of its answer, or of parts of both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionSize {
    /// Of the request.
    pub request: usize,
    /// Of the answer.
    pub answer: usize,
}
