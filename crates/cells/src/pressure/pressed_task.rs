//! A task that may be throttled.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;

/// A task on a worker, as the pressure on that worker sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PressedTask {
    /// The task.
    pub task: TaskName,
    /// Its attempt.
    pub attempt: AttemptNumber,
    /// The processor time that it was given, in thousandths of a core.
    pub cpu_milli: u64,
    /// Whether its job is urgent: such a task is throttled but not stopped.
    pub urgent: bool,
}
