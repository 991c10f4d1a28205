//! What a planner learns from what becomes of tasks.

use crate::planner::StartPlanner;
use crate::state::CellState;
use crate::state::JobRecord;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::WorkerName;
use sapphirestile_placement::FailureVerdict;

impl StartPlanner {
    /// Takes note of what a running task uses.
    pub fn note_usage(&mut self, record: &JobRecord, used: &ResourceSize) {
        let order = &record.order;
        if *used != ResourceSize::default() {
            self.sizes
                .record_usage(&order.job, &order.customer, used, &order.size);
        }
    }

    /// Takes note of the most memory that a task used until it had done its work.
    pub fn note_end(&mut self, record: &JobRecord, most_mb: u64) {
        let order = &record.order;
        self.sizes
            .record_peak_memory(&order.job, &order.customer, most_mb, &order.size);
    }

    /// Whether an attempt that failed was given less memory than its job declared,
    /// which may be why. If so, the job is given what it declared from now on.
    pub fn note_short(&mut self, record: &JobRecord, given: &ResourceSize) -> bool {
        let order = &record.order;
        let short = given.memory_mb < order.size.memory_mb;
        if short {
            self.sizes.restore_declared_memory(&order.job, &order.size);
        }
        short
    }

    /// Takes note of a task that did its work.
    pub fn note_success(&mut self, worker: &WorkerName, job: &JobName) {
        self.failures.record_success(worker, job);
        if let Some(standing) = self.standings.get_mut(worker) {
            standing.record_success();
        }
    }

    /// Takes note of a task that failed, and says what that speaks against.
    pub fn note_failure(
        &mut self,
        worker: &WorkerName,
        job: &JobName,
        now: MonoTime,
    ) -> FailureVerdict {
        let verdict = self.failures.record_failure(worker, job, now);
        match verdict {
            FailureVerdict::BadWorker => {
                let standing = self
                    .standings
                    .get_or_insert_with(worker.clone(), Default::default);
                standing.quarantine(now);
            }
            FailureVerdict::Retry { delay_ms } => {
                self.not_before
                    .insert(job.clone(), now.plus_millis(delay_ms));
            }
            FailureVerdict::BadJob { .. } => {}
        }
        verdict
    }

    /// Forgets what was learnt of jobs that the cell no longer has.
    pub fn forget_jobs(&mut self, state: &CellState) {
        self.submitted.retain(|job, _| state.jobs().contains(job));
        self.not_before.retain(|job, _| state.jobs().contains(job));
    }

    /// Forgets the sizes and the failures of a job.
    pub fn forget_job(&mut self, job: &JobName) {
        self.sizes.forget_job(job);
        self.failures.forget_job(job);
    }
}
