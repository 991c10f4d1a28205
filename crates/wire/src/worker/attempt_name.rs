//! Names one attempt on a worker.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_cells::GoneAttempt;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;

/// One attempt of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptName {
    /// The task.
    pub task: TaskName,
    /// The attempt.
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
