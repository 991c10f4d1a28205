//! A job whose rows a batch has removed from the cell.

use sapphirestile_jobs::JobIdentity;

/// A job whose rows a batch has removed from the cell, because it has moved to another one or
/// is no longer retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemovedJob {
    /// The job whose rows the intake gate takes for out of date.
    pub job: JobIdentity,
    /// The revision of the removal: rows of the job up to it are out of date.
    pub revision: u64,
}
