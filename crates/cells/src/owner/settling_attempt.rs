//! Ended attempts that a worker has to keep.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// An attempt that ended on its worker but whose end is not in the journal yet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettlingAttempt {
    pub worker: WorkerName,
    pub task: TaskName,
    pub attempt: AttemptNumber,
}
