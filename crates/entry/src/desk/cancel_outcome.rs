//! What came of a cancellation.

/// What came of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// It is stored, or the job is over.
    Cancelled,
    /// There is no such job.
    Missing,
    /// The store does not answer.
    Unknown,
}
