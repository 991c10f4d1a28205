//! What lasts of a step.

use serde::Deserialize;
use serde::Serialize;

use crate::state::TaskPhase;
use crate::state::TaskRecord;

/// The tasks of a step, in the order of their numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// The tasks.
    pub tasks: Vec<TaskRecord>,
}

impl StepRecord {
    /// Whether every task is done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.phase == TaskPhase::Done)
    }
}
