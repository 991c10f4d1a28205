//! Decisions after task failures.

use crate::PolicyFeature;
use crate::PolicyVariant;
use crate::batch::task_placer::TaskPlacer;
use crate::plan::JobProfile;
use crate::plan::WORKER_COUNT;
use sapphirestile_core::MonoTime;
use sapphirestile_placement::FailureHistory;
use sapphirestile_placement::FailureVerdict;
use sapphirestile_placement::WorkerHealth;
use sapphirestile_placement::retry_delay_ms;

/// Without quarantine, a job is given up after this many failures since its last
/// success.
const FAILURES_MAX: u32 = 12;

/// Decides on retries and given-up jobs, and quarantines workers.
///
/// Without [`PolicyFeature::WorkerQuarantine`] it only counts the failures of each
/// job.
pub(crate) struct FailureTracker {
    tracks_health: bool,
    history: FailureHistory,
    worker_health: Vec<WorkerHealth>,
    /// For each job; used only without quarantine.
    failures_since_success: Vec<u32>,
}

impl FailureTracker {
    /// Creates a tracker without any failures.
    pub(crate) fn new(policy: &PolicyVariant, jobs: &[JobProfile]) -> Self {
        Self {
            tracks_health: policy.has(PolicyFeature::WorkerQuarantine),
            history: FailureHistory::default(),
            worker_health: vec![WorkerHealth::default(); WORKER_COUNT],
            failures_since_success: vec![0; jobs.len()],
        }
    }

    /// Records that a task of `job` failed on `worker`. Returns whether to give up the
    /// job; otherwise it may be retried, possibly after a delay that is set in the
    /// queue.
    pub(crate) fn record_failure(
        &mut self,
        job: usize,
        worker: usize,
        jobs: &[JobProfile],
        placer: &mut TaskPlacer<'_>,
        now: MonoTime,
    ) -> bool {
        let name = &jobs[job].name;
        if !self.tracks_health {
            self.failures_since_success[job] += 1;
            let delay = retry_delay_ms(self.failures_since_success[job]);
            placer.queue.delay(name, now.plus_millis(delay));
            return self.failures_since_success[job] >= FAILURES_MAX;
        }
        match self
            .history
            .record_failure(&placer.candidates[worker].name, name, now)
        {
            FailureVerdict::Retry { delay_ms } => {
                placer.queue.delay(name, now.plus_millis(delay_ms));
                false
            }
            FailureVerdict::BadWorker => {
                self.worker_health[worker].quarantine(now);
                false
            }
            FailureVerdict::BadJob { .. } => true,
        }
    }

    /// Records that a task of `job` finished on `worker`.
    pub(crate) fn record_success(
        &mut self,
        job: usize,
        worker: usize,
        jobs: &[JobProfile],
        placer: &TaskPlacer<'_>,
    ) {
        if self.tracks_health {
            let name = &placer.candidates[worker].name;
            self.history.record_success(name, &jobs[job].name);
            self.worker_health[worker].record_success();
        }
        self.failures_since_success[job] = 0;
    }

    /// Whether `worker`, which has `running` tasks, is healthy enough for another.
    pub(crate) fn takes_work(&mut self, worker: usize, running: usize, now: MonoTime) -> bool {
        self.worker_health[worker].advance_to(now);
        self.worker_health[worker].takes_work(running)
    }
}
