//! The state of a job.

use serde::Deserialize;
use serde::Serialize;

/// The state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started yet.
    Waiting,
    /// Some tasks have started and not all have ended.
    Running,
    /// Every task completed.
    Finished,
    /// Every task ended, at least one of them without completing.
    Failed,
    /// The job was cancelled.
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
