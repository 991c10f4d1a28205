//! Durable progress of a step.

use serde::Deserialize;
use serde::Serialize;

use crate::progress::TaskProgress;
use crate::progress::TaskStage;

/// Progress of the tasks of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Progress of each task, by its index.
    pub tasks: Vec<TaskProgress>,
}

impl StepProgress {
    /// Whether every task is done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.stage == TaskStage::Done)
    }
}
