//! A throttled task in the dump of a cell.

use serde::Serialize;

use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// A task whose processor time is limited to protect services, as shown in a
/// [`crate::cells::CellDump`].
#[derive(Clone, Debug, Serialize)]
pub struct ThrottleDump {
    /// Name of the throttled task.
    pub task: TaskName,
    /// The worker that runs the task.
    pub worker: WorkerName,
    /// The part of its processor time that the task may still use, in thousandths.
    pub permille: u64,
    /// Whether a report of the worker has confirmed the throttle.
    pub in_effect: bool,
    /// Why the task is throttled, as text.
    pub cause: String,
}
