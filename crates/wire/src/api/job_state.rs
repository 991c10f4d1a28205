//! The state of a job.

use serde::Deserialize;
use serde::Serialize;

/// The state of a job, derived from the states of its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Not all tasks have ended, and none is assigned to a worker.
    Waiting,
    /// Not all tasks have ended, and at least one is assigned to a worker.
    Running,
    /// Every task completed.
    Finished,
    /// Every task ended, and at least one of them failed.
    Failed,
    /// Every task ended; none failed, and at least one was cancelled.
    Cancelled,
}

impl std::fmt::Display for JobState {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Waiting => "waiting",
            Self::Running => "running",
            Self::Finished => "finished",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        })
    }
}
