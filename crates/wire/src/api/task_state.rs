//! How far a task has come.

use serde::Deserialize;
use serde::Serialize;

/// The state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It waits for a worker.
    Waiting,
    /// It is assigned and not yet seen running.
    Starting,
    /// It runs.
    Running,
    /// It is being stopped and will be resumed or ended.
    Stopping,
    /// It did all its work.
    Finished,
    /// It ended without its work done.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl std::fmt::Display for TaskState {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Waiting => "waiting",
            Self::Starting => "starting",
            Self::Running => "running",
            Self::Stopping => "stopping",
            Self::Finished => "finished",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        })
    }
}
