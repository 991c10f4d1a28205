//! What a worker says of one task.

use crate::owner::SightedPhase;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskName;

/// One attempt in a worker's report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskSighting {
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// How far it has come.
    pub phase: SightedPhase,
    /// Work covered by its latest checkpoint, in milliseconds of run time.
    pub checkpoint_ms: u64,
    /// What it was last seen to use.
    pub usage: ResourceSize,
    /// The most processor time that a throttle leaves it, in thousandths of a core;
    /// nothing when it is not throttled.
    pub throttle_cpu_milli: Option<u64>,
}
