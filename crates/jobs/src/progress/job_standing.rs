//! Status of a job.

use serde::Deserialize;
use serde::Serialize;

/// Status of a job, as callers see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStanding {
    /// No task has started yet, though one may be assigned to a worker.
    #[default]
    Waiting,
    /// A task has started.
    Running,
    /// Every task of every occurrence is done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// The caller has cancelled the job.
    Cancelled,
}

impl JobStanding {
    /// Whether the job has ended, so that none of its tasks starts any more.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
