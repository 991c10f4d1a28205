//! Failure of a call to the store.

/// What is known about a failed call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCallError {
    /// The call had no effect.
    NotDone,
    /// The call may have taken effect, or may still do so.
    Unknown,
    /// The store no longer keeps the history after the requested revision.
    HistoryGone,
    /// The store answered with more than this client reads in one answer.
    AnswerTooLarge,
}

impl StoreCallError {
    /// The metric label of the fault.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NotDone => "not_done",
            Self::Unknown => "unknown",
            Self::HistoryGone => "history_gone",
            Self::AnswerTooLarge => "answer_too_large",
        }
    }
}

impl std::fmt::Display for StoreCallError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::NotDone => "store call had no effect",
            Self::Unknown => "store call got no complete answer and may have taken effect",
            Self::HistoryGone => "store no longer keeps the history after the requested revision",
            Self::AnswerTooLarge => "store answered with more than fits in one answer",
        })
    }
}

impl std::error::Error for StoreCallError {}
