//! Outcome of a job submission.

/// Outcome of a job submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored, by this submission or an earlier one.
    Accepted,
    /// The job was not stored and will not be; the caller may retry later.
    Refused,
    /// The job was cancelled before it was stored, and never will be.
    CancelledEarly,
    /// The job may or may not be stored; submitting it again is safe.
    Unknown,
}
