//! Why a call failed.

/// A failed call, by what is known of its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No byte of the request can have reached the peer.
    NotSent,
    /// The request may have reached the peer; there is no whole answer.
    Unknown,
}

impl std::fmt::Display for CallError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::NotSent => "the request was not sent",
            Self::Unknown => "the request may have been sent and has no whole answer",
        })
    }
}

impl std::error::Error for CallError {}
