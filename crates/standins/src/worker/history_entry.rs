//! What a worker ran, on its own clock.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::TaskName;
use sapphirestile_wire::worker::TaskPhase;

/// One attempt that a worker ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryEntry {
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// When it began.
    pub started: MonoTime,
    /// When it ended; none while it runs.
    pub ended: Option<MonoTime>,
    /// How far it has come.
    pub phase: TaskPhase,
}
