//! A limit of an attempt's processor time.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// Limits the processor time of an attempt, or lifts the limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ThrottleOrder {
    /// The worker.
    pub worker: WorkerName,
    /// The fencing token.
    pub epoch: CellEpoch,
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The most processor time, in thousandths of a core; what the task was given
    /// lifts the limit.
    pub cpu_milli: u64,
}
