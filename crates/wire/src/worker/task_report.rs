//! What a worker says of one task.

use serde::Deserialize;
use serde::Serialize;

use crate::worker::TaskPhase;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskName;

/// One attempt on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// How far the attempt has come.
    pub phase: TaskPhase,
    /// Work covered by the latest checkpoint, in milliseconds of run time.
    pub checkpoint_ms: u64,
    /// What the attempt was last seen to use.
    pub usage: ResourceSize,
    /// The age of that usage, in milliseconds.
    pub usage_age_ms: u64,
    /// The most processor time that a throttle leaves the attempt, in thousandths
    /// of a core; absent when it is not throttled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub throttle_cpu_milli: Option<u64>,
}
