//! The outcome of a submission.

/// What a caller knows of one submission of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionOutcome {
    /// There is no answer yet, or the outcome is unknown.
    Unknown,
    /// The job is in the journal.
    Done,
    /// This submission did not put the job into the journal.
    NotRun,
}
