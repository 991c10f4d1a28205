//! Runs on a worker.

use crate::pacing::BestEffortRun;
use crate::pacing::ServingRun;
use crate::spec::TaskIdentity;
use crate::worker::RunEntry;
use crate::worker::TrackedWorker;
use sapphirestile_core::MonoTime;

impl TrackedWorker {
    /// Adds a run, which occupies capacity from now on.
    ///
    /// # Panics
    ///
    /// If the worker already has a run of the task, since that run would be lost.
    pub fn add_run(&mut self, task: TaskIdentity, run: RunEntry) {
        let before = self.runs.insert(task, run);
        assert!(before.is_none(), "worker already has a run of {task}");
        self.recount();
    }

    /// Number of runs on the worker that belong to the same step as `task`.
    #[must_use]
    pub fn count_of_step(&self, task: &TaskIdentity) -> u32 {
        let of_step = |other: &&TaskIdentity| {
            (other.job, other.occurrence, other.step) == (task.job, task.occurrence, task.step)
        };
        let count = self.runs.keys().filter(of_step).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Whether any run has a latency target.
    #[must_use]
    pub fn has_latency_target(&self) -> bool {
        self.runs
            .values()
            .any(|run| run.latency_target_ms.is_some())
    }

    /// Whether any run is long-running.
    #[must_use]
    pub fn has_long_running(&self) -> bool {
        self.runs.values().any(|run| run.is_long_running)
    }

    /// Number of runs that were placed because their jobs had waited too long.
    #[must_use]
    pub fn overdue_runs(&self) -> usize {
        self.runs.values().filter(|run| run.is_overdue).count()
    }

    /// Runs with a latency target, as the interference model sees them; those without an
    /// image are left out.
    #[must_use]
    pub fn serving_runs(&self) -> Vec<ServingRun> {
        self.runs
            .iter()
            .filter_map(|(task, run)| run.as_serving(*task))
            .collect()
    }

    /// Best-effort runs that are not being stopped, as the interference model sees them;
    /// those without an image are left out.
    #[must_use]
    pub fn best_effort_runs(&self, now: MonoTime) -> Vec<BestEffortRun> {
        self.runs
            .iter()
            .filter_map(|(task, run)| run.as_best_effort(*task, now))
            .collect()
    }

    /// Removes a run and frees its capacity; `None` if the worker has no run of the task.
    pub fn remove_run(&mut self, task: &TaskIdentity) -> Option<RunEntry> {
        let removed = self.runs.remove(task);
        self.recount();
        removed
    }
}
