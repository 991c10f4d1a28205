//! A start that was planned.

use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// A task and the worker chosen for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedStart {
    /// The task.
    pub task: TaskName,
    /// The worker.
    pub worker: WorkerName,
    /// The room that the task is given.
    pub size: ResourceSize,
    /// Why this worker.
    pub reason: String,
}
