//! A task that is to make room.

use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// A running task that is to stop for urgent work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvictionOrder {
    /// The task.
    pub task: TaskName,
    /// The worker that it runs on.
    pub worker: WorkerName,
    /// Why.
    pub reason: String,
}
