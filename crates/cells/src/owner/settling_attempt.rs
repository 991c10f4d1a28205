//! An ended attempt that a worker still has to keep.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// An ended attempt whose end is not in the journal yet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettlingAttempt {
    pub worker: WorkerName,
    pub task: TaskName,
    pub attempt: AttemptNumber,
}
