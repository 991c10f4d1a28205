//! Deals with failures.

use crate::PolicyFeature;
use crate::PolicySet;
use crate::batch::task_placer::TaskPlacer;
use crate::plan::JobTruth;
use crate::plan::WORKER_COUNT;
use sapphirestile_core::MonoTime;
use sapphirestile_placement::FailureHistory;
use sapphirestile_placement::FailureVerdict;
use sapphirestile_placement::WorkerHealth;
use sapphirestile_placement::retry_delay_ms;

const PLAIN_FAILURES_MAX: u32 = 12;

/// What failures speak against.
pub(crate) struct FailureKeeper {
    judges: bool,
    book: FailureHistory,
    standings: Vec<WorkerHealth>,
    plain: Vec<u32>,
}

impl FailureKeeper {
    /// No failures yet.
    pub(crate) fn new(policy: &PolicySet, jobs: &[JobTruth]) -> Self {
        Self {
            judges: policy.has(PolicyFeature::Standing),
            book: FailureHistory::default(),
            standings: vec![WorkerHealth::default(); WORKER_COUNT],
            plain: vec![0; jobs.len()],
        }
    }

    /// A task of `job` failed on `worker`; says whether to give the job up.
    pub(crate) fn failed(
        &mut self,
        job: usize,
        worker: usize,
        jobs: &[JobTruth],
        placer: &mut TaskPlacer<'_>,
        now: MonoTime,
    ) -> bool {
        let name = &jobs[job].name;
        if !self.judges {
            self.plain[job] += 1;
            let delay = retry_delay_ms(self.plain[job]);
            placer.queue.delay(name, now.plus_millis(delay));
            return self.plain[job] >= PLAIN_FAILURES_MAX;
        }
        match self
            .book
            .record_failure(&placer.rooms[worker].name, name, now)
        {
            FailureVerdict::Retry { delay_ms } => {
                placer.queue.delay(name, now.plus_millis(delay_ms));
                false
            }
            FailureVerdict::BadWorker => {
                self.standings[worker].quarantine(now);
                false
            }
            FailureVerdict::BadJob { .. } => true,
        }
    }

    /// A task of `job` finished on `worker`.
    pub(crate) fn finished(
        &mut self,
        job: usize,
        worker: usize,
        jobs: &[JobTruth],
        placer: &TaskPlacer<'_>,
    ) {
        if self.judges {
            let name = &placer.rooms[worker].name;
            self.book.record_success(name, &jobs[job].name);
            self.standings[worker].record_success();
        }
        self.plain[job] = 0;
    }

    /// Whether `worker` takes work beside `running` tasks.
    pub(crate) fn takes_work(&mut self, worker: usize, running: usize, now: MonoTime) -> bool {
        self.standings[worker].advance_to(now);
        self.standings[worker].takes_work(running)
    }
}
