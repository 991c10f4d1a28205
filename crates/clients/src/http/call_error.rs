//! Errors of HTTP calls.

/// A failed call, classified by whether it may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No byte of the request can have reached the peer.
    NotSent,
    /// The request may have reached the peer, but there is no complete response.
    Unknown,
}

impl std::fmt::Display for CallError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::NotSent => "the request was not sent",
            Self::Unknown => "the request may have been sent, but no complete response arrived",
        })
    }
}

impl std::error::Error for CallError {}
