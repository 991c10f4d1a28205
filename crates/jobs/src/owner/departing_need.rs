//! Need of a task that is on its way to another cell.

use crate::division::RestartNeed;
use crate::spec::TaskIdentity;
use sapphirestile_core::MonoTime;

/// Need of a long-running task that is on its way to another cell, or home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DepartingNeed {
    /// Task that leaves.
    pub task: TaskIdentity,
    /// What the task needs.
    pub need: RestartNeed,
    /// Time for which it had waited in all when its transfer was decided, in milliseconds.
    pub waited_ms: u64,
    /// When its transfer was decided.
    pub since: MonoTime,
}
