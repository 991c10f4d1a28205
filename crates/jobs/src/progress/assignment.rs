//! Assignment of a task to a worker.

use sapphirestile_core::WorkerName;
use serde::Deserialize;
use serde::Serialize;

use crate::worker::WorkerIncarnation;

/// Worker incarnation that a task is assigned to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Worker that may be running the task.
    pub worker: WorkerName,
    /// Incarnation of the worker at the time of the assignment.
    #[serde(rename = "life_unix_ms")]
    pub incarnation: WorkerIncarnation,
}
