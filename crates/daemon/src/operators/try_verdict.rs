//! What a try to prove oneself came to.

/// What a try to prove oneself with the operators' token came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryVerdict {
    /// The token is right.
    Right,
    /// The token is wrong.
    Wrong,
    /// The peer has failed too often; the token was not looked at.
    Paused {
        /// How long until the peer is heard again, in milliseconds.
        wait_ms: u64,
    },
}
