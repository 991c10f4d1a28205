//! An attempt in a worker's history, with times on its own clock.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::TaskName;
use sapphirestile_wire::worker::TaskPhase;

/// One attempt that a worker has started, with times on its own monotonic clock. See
/// [`HistoryRow`](crate::worker::HistoryRow) for the form that is served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryEntry {
    /// The name of the task.
    pub task: TaskName,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// When the attempt was started.
    pub started: MonoTime,
    /// When the attempt ended; `None` while it runs.
    pub ended: Option<MonoTime>,
    /// Whether the attempt is running, or how it ended.
    pub phase: TaskPhase,
}
