//! The submissions of one job.

use crate::SubmissionOutcome;
use sapphirestile_cells::ArraySpec;
use sapphirestile_core::CellNumber;

/// The submissions of one job and their outcomes.
#[derive(Clone, Debug)]
pub struct JobSubmissions {
    /// The cell that the job is submitted to.
    pub cell: CellNumber,
    /// The same specification is sent with every submission.
    pub spec: ArraySpec,
    /// What the caller knows of each submission, in their order.
    pub outcomes: Vec<SubmissionOutcome>,
}

impl JobSubmissions {
    /// Whether the caller knows of every submission that it was not run. True when there was
    /// no submission.
    #[must_use]
    pub fn all_not_run(&self) -> bool {
        self.outcomes
            .iter()
            .all(|outcome| *outcome == SubmissionOutcome::NotRun)
    }

    /// Whether a caller was told that the job is in the journal.
    #[must_use]
    pub fn any_accepted(&self) -> bool {
        self.outcomes.contains(&SubmissionOutcome::Done)
    }
}
