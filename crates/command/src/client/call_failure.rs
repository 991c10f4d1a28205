//! Why no answer came.

/// A call without an answer, by what is known of its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No daemon could be reached; nothing was sent.
    Unreachable,
    /// The call was sent and its answer was lost.
    AnswerLost,
}

impl std::fmt::Display for CallFailure {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Unreachable => "no daemon could be reached",
            Self::AnswerLost => "the answer was lost",
        })
    }
}

impl std::error::Error for CallFailure {}
