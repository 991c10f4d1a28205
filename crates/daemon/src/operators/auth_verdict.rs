//! The result of checking a token.

/// The result of checking a token that a client sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthVerdict {
    /// The token is the operators' token.
    Right,
    /// The token is not the operators' token.
    Wrong,
    /// The client has sent too many wrong tokens; this one was not checked.
    Paused {
        /// The rest of the pause, in milliseconds.
        wait_ms: u64,
    },
}
