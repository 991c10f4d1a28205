//! What a caller was told.

/// What a caller was told of one try to submit a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryFate {
    /// Nothing yet, or that the outcome is unknown.
    Unknown,
    /// That the job is in the journal.
    Done,
    /// That the job was not submitted by this try.
    NotRun,
}
