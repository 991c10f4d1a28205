//! An attempt on a worker.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;

/// An attempt that runs, or has finished and is not forgotten.
#[derive(Clone, Debug)]
pub struct FakeTask {
    pub task: TaskName,
    pub attempt: AttemptNumber,
    pub ends: u64,
}
