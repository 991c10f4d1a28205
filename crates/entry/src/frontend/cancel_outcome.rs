//! Outcome of a cancellation.

/// Outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The cancellation is stored, or the job had already ended.
    Cancelled,
    /// The store has no such job.
    Missing,
    /// The store did not confirm the cancellation before the deadline.
    Unknown,
}
