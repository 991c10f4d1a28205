//! Outcome of a cancellation.

/// Outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The cancellation is stored, or the job had already ended.
    Cancelled,
    /// The store has no such job, and the cancellation keeps it from ever being stored.
    NeverRuns,
    /// Nothing was stored, since many jobs that are not stored are being cancelled.
    Refused,
    /// Nothing was stored, since the store has a row of the job that this version cannot read.
    Unreadable,
    /// The store did not confirm the cancellation before the deadline.
    Unknown,
}
