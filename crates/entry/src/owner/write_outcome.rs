//! Outcome of storing a batch.

use sapphirestile_jobs::JobIdentity;

/// Outcome of storing a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The batch is stored.
    Stored {
        /// The revision of its last write: intake rows up to it that name a job which the
        /// batch removed are out of date.
        revision: u64,
        /// The jobs that the batch removed from the cell.
        removed: Vec<JobIdentity>,
        /// The jobs that did not move, or whose tasks were not transferred, because they were
        /// cancelled.
        refused: Vec<JobIdentity>,
    },
    /// The batch is not stored as a whole: another daemon owns the cell now.
    Deposed,
}
