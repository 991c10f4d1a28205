//! What a worker says of one task.

use serde::Deserialize;
use serde::Serialize;

use crate::worker::TaskPhase;
use sapphirestile_cells::AttemptReport;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskName;

/// How much later a checkpoint has to be to be reported again, in milliseconds of
/// run time.
pub const CHECKPOINT_STEP_MS: u64 = 60_000;

const USAGE_PARTS: u64 = 20;

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
    /// The age of that usage when it was reported, in milliseconds.
    pub usage_age_ms: u64,
    /// The most processor time that a throttle leaves the attempt, in thousandths
    /// of a core; absent when it is not throttled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub throttle_cpu_milli: Option<u64>,
}

impl TaskReport {
    /// Whether `later` says enough that is new to be reported after this.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_wire::worker::TaskReport;
    ///
    /// let early = r#"{"task":{"job":"sizes","index":0},"attempt":1,"phase":"running",
    ///     "checkpoint_ms":0,"usage":{"cpu_milli":700,"memory_mb":64,"accelerators":0},"usage_age_ms":0}"#;
    /// let early: TaskReport = serde_json::from_str(early).unwrap();
    /// let soon = TaskReport { checkpoint_ms: 59_999, ..early.clone() };
    /// assert!(!early.is_outdated_by(&soon));
    /// let late = TaskReport { checkpoint_ms: 60_000, ..early.clone() };
    /// assert!(early.is_outdated_by(&late));
    /// ```
    #[must_use]
    pub fn is_outdated_by(&self, later: &Self) -> bool {
        let same = Self {
            checkpoint_ms: self.checkpoint_ms,
            usage: self.usage,
            usage_age_ms: self.usage_age_ms,
            ..later.clone()
        };
        let ahead_ms = later.checkpoint_ms.abs_diff(self.checkpoint_ms);
        same != *self || ahead_ms >= CHECKPOINT_STEP_MS || has_moved(&self.usage, &later.usage)
    }
}

impl From<TaskReport> for AttemptReport {
    fn from(report: TaskReport) -> Self {
        Self {
            task: report.task,
            attempt: report.attempt,
            phase: report.phase.into(),
            checkpoint_ms: report.checkpoint_ms,
            usage: report.usage,
            throttle_cpu_milli: report.throttle_cpu_milli,
        }
    }
}

const fn has_moved(before: &ResourceSize, now: &ResourceSize) -> bool {
    moves(before.cpu_milli, now.cpu_milli)
        || moves(before.memory_mb, now.memory_mb)
        || before.accelerators != now.accelerators
}

const fn moves(before: u64, now: u64) -> bool {
    now.abs_diff(before).saturating_mul(USAGE_PARTS) > before
}
