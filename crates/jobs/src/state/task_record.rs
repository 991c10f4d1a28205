//! What lasts of a task.

use sapphirestile_core::WorkerName;
use serde::Deserialize;
use serde::Serialize;

use crate::state::TaskPhase;

/// What lasts of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The number of its latest run, from 1; 0 before the first.
    pub run: u32,
    /// How many runs failed.
    pub failures: u32,
    /// Where it stands.
    pub phase: TaskPhase,
    /// Where its next run goes on from; empty when it begins anew.
    pub checkpoint: Box<str>,
}

impl TaskRecord {
    /// Whether it may run on a worker.
    #[must_use]
    pub fn is_assigned_to(&self, worker: &WorkerName) -> bool {
        matches!(&self.phase, TaskPhase::Assigned(assignment) if assignment.worker == *worker)
    }
}
