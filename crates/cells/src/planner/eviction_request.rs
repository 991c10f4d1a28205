//! Requests to stop running tasks.

use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// A running task to stop, for urgent work or for co-located services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvictionRequest {
    /// The task to stop, with a checkpoint.
    pub task: TaskName,
    /// The worker that it runs on.
    pub worker: WorkerName,
    /// Why it is stopped, for the decision log.
    pub reason: String,
}
