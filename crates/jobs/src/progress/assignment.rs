//! Assignment of a task to a worker.

use sapphirestile_core::WorkerName;
use serde::Deserialize;
use serde::Serialize;

/// Worker incarnation that a task is assigned to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Worker that may be running the task.
    pub worker: WorkerName,
    /// Start of the worker's incarnation at the time of the assignment, in milliseconds of
    /// the Unix epoch.
    pub life_unix_ms: u64,
}
