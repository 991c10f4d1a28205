//! Tasks that may be throttled.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;

/// A task on a worker with co-located services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ThrottleCandidate {
    /// The task that may be throttled or stopped.
    pub task: TaskName,
    /// The task's current attempt.
    pub attempt: AttemptNumber,
    /// The processor time allocated to it, in thousandths of a core.
    pub cpu_milli: u64,
    /// Whether its job is urgent; such a task may be throttled but not stopped.
    pub urgent: bool,
}
