//! What operators say of an advisor.

/// How long the advisor of a queue takes, and how long its tickets hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdviceTerms {
    /// How long an answer takes, in milliseconds.
    pub decide_ms: u64,
    /// How much longer for each worker that is named, in milliseconds.
    pub each_ms: u64,
    /// How long a ticket is taken, in milliseconds.
    pub validity_ms: u64,
}

impl AdviceTerms {
    /// How long an answer about so many workers takes, in milliseconds.
    #[must_use]
    pub const fn answer_ms(&self, workers: u64) -> u64 {
        self.decide_ms + self.each_ms * workers
    }
}
