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
    /// Numbers of the failed runs, each of which uses up an attempt. A worker may list the
    /// end of a run to several owners.
    pub failed_runs: Vec<u32>,
    /// Whether the task waits, may be running, or is done.
    pub stage: TaskStage,
    /// Checkpoint that the next run resumes from; empty if it starts from scratch.
    pub checkpoint: Box<str>,
}

impl TaskProgress {
    /// The highest number of a run that an owner takes over from the store. Those of its own
    /// runs follow, and have to fit as well.
    pub const STORED_RUN_MAX: u32 = u32::MAX / 2;

    /// Records that a run has failed. Returns whether that was not known.
    pub fn record_failure(&mut self, run: u32) -> bool {
        let is_new = !self.failed_runs.contains(&run);
        if is_new {
            self.failed_runs.push(run);
        }
        is_new
    }

    /// Whether the task is assigned to the worker.
    #[must_use]
    pub fn is_assigned_to(&self, worker: &WorkerName) -> bool {
        matches!(&self.stage, TaskStage::Assigned(assignment) if assignment.worker == *worker)
    }
}
