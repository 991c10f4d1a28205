//! What became of the requests until the end of a planned stop.

/// What became of the requests that were read until a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopReport {
    /// The number of requests that were read since the ports were opened.
    pub read: u64,
    /// How many of them were refused.
    pub refused: u64,
    /// How many had no complete answer when the stop ended.
    pub unanswered: u64,
}

impl StopReport {
    /// Whether every request has its answer.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.unanswered == 0
    }
}
