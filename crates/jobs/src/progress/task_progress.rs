//! Durable progress of a task.

use sapphirestile_core::WorkerName;
use serde::Deserialize;
use serde::Serialize;

use crate::progress::TaskStage;

/// Durable state of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Number of the latest run, from 1; 0 before the first.
    pub run: u32,
    /// Number of failed runs.
    pub failures: u32,
    /// Whether the task waits, may be running, or is done.
    pub stage: TaskStage,
    /// Checkpoint that the next run resumes from; empty if it starts from scratch.
    pub checkpoint: Box<str>,
}

impl TaskProgress {
    /// Whether the task is assigned to the worker.
    #[must_use]
    pub fn is_assigned_to(&self, worker: &WorkerName) -> bool {
        matches!(&self.stage, TaskStage::Assigned(assignment) if assignment.worker == *worker)
    }
}
