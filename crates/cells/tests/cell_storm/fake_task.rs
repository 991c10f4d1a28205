//! An attempt on a worker.

use sapphirestile_cells::SightedPhase;
use sapphirestile_cells::TaskSighting;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskName;

/// An attempt that runs, or has ended and is kept until the owner settles it.
#[derive(Clone, Debug)]
pub struct FakeTask {
    pub task: TaskName,
    pub attempt: AttemptNumber,
    pub phase: SightedPhase,
    pub size: ResourceSize,
    pub done_ms: u64,
    pub run_ms: u64,
}

impl FakeTask {
    pub fn runs(&self) -> bool {
        self.phase == SightedPhase::Running
    }

    pub fn sighting(&self) -> TaskSighting {
        TaskSighting {
            task: self.task.clone(),
            attempt: self.attempt,
            phase: self.phase,
            checkpoint_ms: self.done_ms,
            usage: ResourceSize::default(),
            throttle_cpu_milli: None,
        }
    }
}
