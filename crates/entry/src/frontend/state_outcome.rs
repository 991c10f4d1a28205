//! Outcome of a query for the state of a job.

use sapphirestile_jobs::JobStanding;

/// Outcome of a query for the state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateOutcome {
    /// The state that the store records.
    Known(JobStanding),
    /// The store has no such job.
    Missing,
    /// The store has no such job and never will: it was cancelled before it was stored.
    CancelledEarly,
    /// The store has a row of the job that this version cannot read. Another daemon may.
    Unreadable,
    /// The store did not answer before the deadline.
    Unknown,
}
