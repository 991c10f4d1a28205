//! How far a task on a worker has come.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_cells::ReportedPhase;

/// How far an attempt on a worker has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// The attempt runs.
    Running,
    /// The attempt did all its work.
    Finished,
    /// The attempt ended with an error of its own.
    Failed,
    /// The attempt was stopped, or its lease lapsed; its checkpoint stands.
    Stopped,
}

impl From<TaskPhase> for ReportedPhase {
    fn from(phase: TaskPhase) -> Self {
        match phase {
            TaskPhase::Running => Self::Running,
            TaskPhase::Finished => Self::Finished,
            TaskPhase::Failed => Self::Failed,
            TaskPhase::Stopped => Self::Stopped,
        }
    }
}
