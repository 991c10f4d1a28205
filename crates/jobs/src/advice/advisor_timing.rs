//! Timing of an advisor.

/// Response time of a queue's advisor and validity of its tickets, as configured by the
/// operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdvisorTiming {
    /// Base time for an answer, in milliseconds.
    pub decide_ms: u64,
    /// Additional time for each worker that the request names, in milliseconds.
    pub per_worker_ms: u64,
    /// Validity of a ticket, in milliseconds.
    pub validity_ms: u64,
}

impl AdvisorTiming {
    /// Expected time for an answer about the given number of workers, in milliseconds.
    #[must_use]
    pub const fn answer_ms(&self, workers: u64) -> u64 {
        self.decide_ms + self.per_worker_ms * workers
    }
}
