//! How a job stands.

use sapphirestile_jobs::JobStanding;

/// What is known of how a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateOutcome {
    /// It stands so.
    Known(JobStanding),
    /// There is no such job.
    Missing,
    /// The store does not answer.
    Unknown,
}
