//! The report of one attempt on a worker.

use serde::Deserialize;
use serde::Serialize;

use crate::worker::TaskPhase;
use sapphirestile_cells::AttemptReport;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskName;

/// The minimum progress since the last reported checkpoint for a checkpoint to be
/// reported again, in milliseconds of run time.
pub const CHECKPOINT_STEP_MS: u64 = 60_000;

/// Usage is reported again when it changes by more than one part in this many.
const USAGE_CHANGE_DIVISOR: u64 = 20;

/// The state of one attempt on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The name of the task.
    pub task: TaskName,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// The phase of the attempt.
    pub phase: TaskPhase,
    /// Work covered by the latest checkpoint, in milliseconds of run time.
    pub checkpoint_ms: u64,
    /// The last measured resource usage of the attempt.
    pub usage: ResourceSize,
    /// The age of the usage measurement when it was reported, in milliseconds.
    pub usage_age_ms: u64,
    /// The CPU limit of a throttled attempt, in thousandths of a core; `None` when it is not
    /// throttled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub throttle_cpu_milli: Option<u64>,
}

impl TaskReport {
    /// Whether `later` differs enough from this report to be sent again.
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
        let comparable = Self {
            checkpoint_ms: self.checkpoint_ms,
            usage: self.usage,
            usage_age_ms: self.usage_age_ms,
            ..later.clone()
        };
        let ahead_ms = later.checkpoint_ms.abs_diff(self.checkpoint_ms);
        comparable != *self
            || ahead_ms >= CHECKPOINT_STEP_MS
            || usage_changed(&self.usage, &later.usage)
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

const fn usage_changed(before: &ResourceSize, now: &ResourceSize) -> bool {
    differs(before.cpu_milli, now.cpu_milli)
        || differs(before.memory_mb, now.memory_mb)
        || before.accelerators != now.accelerators
}

const fn differs(before: u64, now: u64) -> bool {
    now.abs_diff(before).saturating_mul(USAGE_CHANGE_DIVISOR) > before
}
