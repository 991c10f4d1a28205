//! The phase of an attempt on a worker.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_cells::ReportedPhase;

/// The phase of an attempt on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// The attempt runs.
    Running,
    /// The attempt completed its work.
    Finished,
    /// The attempt ended with an error of its own.
    Failed,
    /// The attempt was stopped, or its lease expired; its latest checkpoint remains valid.
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
