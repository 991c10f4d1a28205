//! Attempts on a simulated worker.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;

/// An attempt that runs, or that ended and is kept until the owner settles it.
#[derive(Clone, Debug)]
pub struct FakeTask {
    pub task: TaskName,
    pub attempt: AttemptNumber,
    /// Virtual time at which it finishes.
    pub ends_ms: u64,
}
