//! The tries to submit one job.

use crate::TryFate;
use sapphirestile_cells::ArraySpec;
use sapphirestile_core::CellNumber;

/// The tries to submit one job, and what became of each.
#[derive(Clone, Debug)]
pub struct JobTries {
    /// The cell that the job belongs to.
    pub cell: CellNumber,
    /// The job.
    pub order: ArraySpec,
    /// What the caller was told of each try.
    pub fates: Vec<TryFate>,
}

impl JobTries {
    /// Whether every try was answered by saying that it was not run.
    #[must_use]
    pub fn all_refused(&self) -> bool {
        self.fates.iter().all(|fate| *fate == TryFate::NotRun)
    }

    /// Whether some try was answered by saying that the job is in the journal.
    #[must_use]
    pub fn any_done(&self) -> bool {
        self.fates.contains(&TryFate::Done)
    }
}
