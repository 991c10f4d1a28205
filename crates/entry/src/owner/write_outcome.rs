//! Outcome of storing a batch.

use sapphirestile_jobs::JobIdentity;

use crate::owner::RemovedJob;

/// Outcome of storing a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The batch is stored.
    Stored {
        /// The jobs that the batch removed from the cell.
        removed: Vec<RemovedJob>,
        /// The jobs that did not move, or whose tasks were not transferred, because they were
        /// cancelled.
        refused: Vec<JobIdentity>,
    },
    /// The batch is not stored as a whole: another daemon owns the cell now.
    Deposed,
}
