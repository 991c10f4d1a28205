//! Requests to throttle attempts.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// A request to limit an attempt's processor time, or to lift the limit. It needs no
/// commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ThrottleRequest {
    /// The worker to call.
    pub worker: WorkerName,
    /// Epoch of the owner, the fencing token.
    pub epoch: CellEpoch,
    /// The task of the attempt.
    pub task: TaskName,
    /// The attempt to throttle.
    pub attempt: AttemptNumber,
    /// Processor limit in thousandths of a core; the size allocated to the task lifts the
    /// limit.
    pub cpu_milli: u64,
}
