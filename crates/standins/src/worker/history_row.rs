//! What a worker ran.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;
use sapphirestile_wire::worker::TaskPhase;

/// One attempt that a worker ran. Times are milliseconds since 1970 on the
/// clock of the machine, so that rows of several workers can be compared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRow {
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// When it began.
    pub started_ms: u64,
    /// When it ended; none while it runs.
    pub ended_ms: Option<u64>,
    /// How far it has come.
    pub phase: TaskPhase,
}
