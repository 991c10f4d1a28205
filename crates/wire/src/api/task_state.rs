//! The state of a task.

use serde::Deserialize;
use serde::Serialize;

/// The state of a task, as its cell's owner knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Waiting for a worker.
    Waiting,
    /// Assigned to a worker that has not yet reported it as running. Daemons report such a
    /// task as [`Self::Running`].
    Starting,
    /// Assigned to a worker.
    Running,
    /// Being stopped; the task is resumed or ended afterwards. Daemons report such a task as
    /// [`Self::Running`].
    Stopping,
    /// Ended after completing its work.
    Finished,
    /// Ended without completing its work.
    Failed,
    /// Ended by cancellation.
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
