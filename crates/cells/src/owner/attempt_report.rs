//! Attempts in workers' reports.

use crate::owner::ReportedPhase;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskName;

/// One attempt in a worker's report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptReport {
    /// The task of the attempt.
    pub task: TaskName,
    /// Number of the attempt, chosen by the owner that started it.
    pub attempt: AttemptNumber,
    /// Whether it runs, or how it ended.
    pub phase: ReportedPhase,
    /// Work covered by its latest checkpoint, in milliseconds of run time.
    pub checkpoint_ms: u64,
    /// Its latest measured resource use.
    pub usage: ResourceSize,
    /// Its processor limit in thousandths of a core; `None` when it is not throttled.
    pub throttle_cpu_milli: Option<u64>,
}
