//! Why a call to the store has no result.

/// What is known of a call to the store that has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Nothing was done.
    NotDone,
    /// It may have been done, or may still be.
    Unknown,
    /// The changes asked for are no longer known.
    HistoryGone,
}

impl StoreFault {
    /// The fault in a word, for counting.
    #[must_use]
    pub const fn word(self) -> &'static str {
        match self {
            Self::NotDone => "not_done",
            Self::Unknown => "unknown",
            Self::HistoryGone => "history_gone",
        }
    }
}

impl std::fmt::Display for StoreFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::NotDone => "the store did nothing",
            Self::Unknown => "the store may have done it and gave no whole answer",
            Self::HistoryGone => "the store no longer knows these changes",
        })
    }
}

impl std::error::Error for StoreFault {}
