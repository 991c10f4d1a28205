//! The identity of an attempt on a worker.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_cells::GoneAttempt;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;

/// Identifies one attempt of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptName {
    /// The name of the task.
    pub task: TaskName,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
}

impl From<AttemptName> for GoneAttempt {
    fn from(name: AttemptName) -> Self {
        Self {
            task: name.task,
            attempt: name.attempt,
        }
    }
}
