//! A throttled task, for people to read.

use serde::Serialize;

use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// A task whose processor time is limited for the sake of services.
#[derive(Clone, Debug, Serialize)]
pub struct ThrottleDump {
    /// The task.
    pub task: TaskName,
    /// The worker.
    pub worker: WorkerName,
    /// The part of its processor time that it is left, in thousandths.
    pub permille: u64,
    /// Whether the worker's report has shown it.
    pub in_effect: bool,
    /// Why.
    pub cause: String,
}
