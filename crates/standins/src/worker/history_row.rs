//! An attempt in a worker's history, with Unix times.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;
use sapphirestile_wire::worker::TaskPhase;

/// One attempt that a worker has started, as served by `GET /history`. Times are Unix times
/// in milliseconds, on the clock of the machine, so that rows of several workers on it can be
/// compared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRow {
    /// The name of the task.
    pub task: TaskName,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// When the attempt was started.
    pub started_ms: u64,
    /// When the attempt ended; `None` while it runs.
    pub ended_ms: Option<u64>,
    /// Whether the attempt is running, or how it ended.
    pub phase: TaskPhase,
}
