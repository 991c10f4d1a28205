//! Attempts on a simulated worker.

use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskName;

/// An attempt that runs, or that ended and is kept until the owner settles it.
#[derive(Clone, Debug)]
pub struct FakeTask {
    pub task: TaskName,
    pub attempt: AttemptNumber,
    pub phase: ReportedPhase,
    pub size: ResourceSize,
    pub progress_ms: u64,
    pub run_ms: u64,
}

impl FakeTask {
    pub fn runs(&self) -> bool {
        self.phase == ReportedPhase::Running
    }

    pub fn attempt_report(&self) -> AttemptReport {
        AttemptReport {
            task: self.task.clone(),
            attempt: self.attempt,
            phase: self.phase,
            checkpoint_ms: self.progress_ms,
            usage: ResourceSize::default(),
            throttle_cpu_milli: None,
        }
    }
}
