//! A task and its progress.

use crate::batch::TaskExecution;
use crate::plan::TaskProfile;

/// A task, its progress and where it runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SimulatedTask {
    /// The index of its job.
    pub(crate) job: usize,
    pub(crate) profile: TaskProfile,
    /// Work done, in milliseconds of run time at full CPU.
    pub(crate) progress_ms: f64,
    /// Work covered by the latest checkpoint, in the same unit.
    pub(crate) checkpointed_ms: f64,
    /// `None` while the task waits or after its end.
    pub(crate) execution: Option<TaskExecution>,
}

impl SimulatedTask {
    /// Converts `run_ms` of progress into core milliseconds.
    pub(crate) fn core_ms(&self, run_ms: f64) -> f64 {
        run_ms * self.profile.cpu_milli / 1_000.0
    }

    /// Current memory usage; it grows to its peak over the first quarter of the run.
    pub(crate) fn memory_mb(&self) -> f64 {
        let grown_share = (self.progress_ms / self.profile.run_ms * 4.0).min(1.0);
        self.profile.memory_mb * (0.3 + 0.7 * grown_share)
    }

    /// The CPU that the task could use now, within its cap, in thousandths of a core.
    pub(crate) fn wanted_milli(&self) -> f64 {
        let wave = (self.progress_ms / 90_000.0).sin();
        let wanted_milli = self.profile.cpu_milli * (0.85 + 0.15 * wave);
        let cap = self.execution.and_then(|execution| execution.cpu_cap_milli);
        cap.map_or(wanted_milli, |cap| wanted_milli.min(cap))
    }

    /// Whether it runs on a worker and is not paused by a transfer.
    pub(crate) fn is_running(&self) -> bool {
        self.execution
            .is_some_and(|execution| !execution.fetching_inputs && !execution.sending_checkpoint)
    }
}
