//! Planned starts.

use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// A task and the worker chosen for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedStart {
    /// The task to start.
    pub task: TaskName,
    /// The worker to start it on.
    pub worker: WorkerName,
    /// The resources to allocate to it, which may differ from its declared size.
    pub size: ResourceSize,
    /// Why this worker was chosen, for the decision log.
    pub reason: String,
}
