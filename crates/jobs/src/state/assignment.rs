//! Where a task may run.

use sapphirestile_core::WorkerName;
use serde::Deserialize;
use serde::Serialize;

/// The worker that a task was given to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The worker.
    pub worker: WorkerName,
    /// When that life of the worker began, in milliseconds of the Unix epoch.
    pub life_unix_ms: u64,
}
