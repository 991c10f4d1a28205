//! Errors of requests to daemons.

/// A request without a response, classified by whether it may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// The daemon could not be reached; the request was not sent.
    Unreachable,
    /// The request may have been sent, but no complete response arrived: a change may
    /// have been carried out.
    ResponseLost,
}

impl std::fmt::Display for ClientError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Unreachable => "the daemon could not be reached",
            Self::ResponseLost => "no complete response arrived",
        })
    }
}

impl std::error::Error for ClientError {}
