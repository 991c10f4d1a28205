//! Adaptation to the outcomes of tasks.

use crate::planner::StartPlanner;
use crate::state::ArrayProgress;
use crate::state::CellState;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::WorkerName;
use sapphirestile_placement::FailureVerdict;

impl StartPlanner {
    /// Records the resource use of a running task.
    pub fn record_usage(&mut self, progress: &ArrayProgress, used: &ResourceSize) {
        let spec = &progress.spec;
        if *used != ResourceSize::default() {
            self.sizes
                .record_usage(&spec.job, &spec.customer, used, &spec.size);
        }
    }

    /// Records the peak memory of a task that completed its work, in mebibytes.
    pub fn record_peak_memory(&mut self, progress: &ArrayProgress, peak_mb: u64) {
        let spec = &progress.spec;
        self.sizes
            .record_peak_memory(&spec.job, &spec.customer, peak_mb, &spec.size);
    }

    /// Whether a failed attempt was given less memory than its job declared, which may be
    /// why it failed. If so, the job gets its declared size from now on.
    pub fn restore_declared_memory(
        &mut self,
        progress: &ArrayProgress,
        given: &ResourceSize,
    ) -> bool {
        let spec = &progress.spec;
        let short = given.memory_mb < spec.size.memory_mb;
        if short {
            self.sizes.restore_declared_memory(&spec.job, &spec.size);
        }
        short
    }

    /// Records a task that completed its work.
    pub fn record_success(&mut self, worker: &WorkerName, job: &JobName) {
        self.failures.record_success(worker, job);
        if let Some(health) = self.worker_health.get_mut(worker) {
            health.record_success();
        }
    }

    /// Records a failed task; the verdict says whether the failure is attributed to the
    /// worker or to the job.
    pub fn record_failure(
        &mut self,
        worker: &WorkerName,
        job: &JobName,
        now: MonoTime,
    ) -> FailureVerdict {
        let verdict = self.failures.record_failure(worker, job, now);
        match verdict {
            FailureVerdict::BadWorker => {
                let health = self
                    .worker_health
                    .get_or_insert_with(worker.clone(), Default::default);
                health.quarantine(now);
            }
            FailureVerdict::Retry { delay_ms } => {
                self.not_before
                    .insert(job.clone(), now.plus_millis(delay_ms));
            }
            FailureVerdict::BadJob { .. } => {}
        }
        verdict
    }

    /// Removes submission times and delays of jobs that the cell no longer has.
    pub fn forget_jobs(&mut self, state: &CellState) {
        self.submitted.retain(|job, _| state.jobs().contains(job));
        self.not_before.retain(|job, _| state.jobs().contains(job));
    }

    /// Removes the learned sizes and the failures of a job.
    pub fn forget_job(&mut self, job: &JobName) {
        self.sizes.forget_job(job);
        self.failures.forget_job(job);
    }
}
