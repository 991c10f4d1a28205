//! Assignment of tasks to workers.

use crate::owner::DecisionEvent;
use crate::owner::DeferredEffect;
use crate::owner::JobOwner;
use crate::pacing::ImageNumber;
use crate::pacing::PacePlan;
use crate::planner::TaskDemand;
use crate::planner::WorkerScorer;
use crate::progress::Assignment;
use crate::progress::TaskStage;
use crate::spec::StepSpec;
use crate::worker::RunEntry;
use crate::worker::RunState;
use crate::worker::TrackedWorker;
use crate::worker::WorkerIncarnation;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// Initial pace of a run at its worker, in percent of its full speed.
const FULL_PACE_PERCENT: u32 = 100;

/// One in this many workers is kept free of latency-sensitive runs, for best-effort tasks,
/// while others have free capacity.
const RESERVED_WORKER_DIVISOR: usize = 6;

impl JobOwner {
    /// Best worker for a task; only workers on `rack` if given.
    pub(super) fn choose_worker(
        &self,
        demand: &TaskDemand<'_>,
        rack: Option<&str>,
        now: MonoTime,
    ) -> Option<WorkerName> {
        let scorer = self.worker_scorer(now);
        let is_on_rack = |tracked: &TrackedWorker| rack.is_none_or(|rack| tracked.has_label(rack));
        let candidates = self.workers.iter().filter_map(|(name, tracked)| {
            if !is_on_rack(tracked) {
                return None;
            }
            let score = scorer.score(demand, tracked)?;
            Some((score, name))
        });
        candidates
            .max_by_key(|(score, _)| *score)
            .map(|(_, name)| name.clone())
    }

    /// Scorer for the current state of the workers.
    pub(super) fn worker_scorer(&self, now: MonoTime) -> WorkerScorer<'_> {
        WorkerScorer {
            zones_out: &self.zones_out,
            interference: &self.interference,
            advice: &self.advice,
            spare: self.spare,
            held: &self.held,
            awaited: &self.awaited,
            has_new_waits: self.has_new_waits(now),
            now,
        }
    }

    /// Whether more workers are free of latency-sensitive runs than are reserved.
    pub(super) fn has_spare_worker(&self, now: MonoTime) -> bool {
        let scorer = self.worker_scorer(now);
        let usable = self
            .workers
            .values()
            .filter(|tracked| scorer.is_usable(tracked));
        let (mut all, mut free) = (0, 0);
        for tracked in usable {
            all += 1;
            free += usize::from(!tracked.has_latency_target());
        }
        free > all / RESERVED_WORKER_DIVISOR
    }

    /// Assigns a task to a worker under a new run number. The start request is sent once
    /// the assignment is stored.
    ///
    /// # Panics
    ///
    /// If the task is assigned or done and its step allows no second run, or if `run` does
    /// not exceed the latest run: the task could run twice.
    pub(super) fn assign(
        &mut self,
        worker: &WorkerName,
        demand: &TaskDemand<'_>,
        run: u32,
        now: MonoTime,
    ) {
        let task = demand.task;
        let start_percent = self.start_percent(worker, demand, run, now);
        let Some(tracked) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(progress) = entry.progress.task_mut(&task) else {
            return;
        };
        assert!(
            progress.stage == TaskStage::Waiting || demand.step.is_speculative,
            "{task} is already assigned or done"
        );
        assert!(
            run > progress.run,
            "run {run} of {task} does not exceed its latest run"
        );
        progress.run = run;
        let incarnation = tracked.incarnation();
        progress.stage = TaskStage::Assigned(Assignment {
            worker: worker.clone(),
            incarnation,
        });
        let mut entry = Self::run_entry(run, incarnation, demand, RunState::Planned, now);
        entry.start_percent = start_percent;
        tracked.add_run(task, entry);
        self.report_wait_end(task, run, None, now);
        self.unplaced.remove(&task);
        self.changed.insert(task.job, ());
        self.decisions.push(DecisionEvent::Assigned {
            task,
            run,
            worker: worker.clone(),
        });
        self.deferred.push(DeferredEffect::Start {
            worker: worker.clone(),
            task,
            run,
        });
        if demand.step.latency_target_ms.is_some() {
            self.spare.for_latency = self.has_spare_worker(now);
        }
        if demand.step.is_long_running {
            self.spare.for_first_runs = self.has_worker_for_first_runs(now);
        }
    }

    /// Pace at which a run of the task starts on the worker, in percent of its full speed.
    fn start_percent(
        &self,
        worker: &WorkerName,
        demand: &TaskDemand<'_>,
        run: u32,
        now: MonoTime,
    ) -> u32 {
        let scorer = self.worker_scorer(now);
        let is_slow = |tracked: &TrackedWorker| {
            // Without an image a run would not be sped up again.
            let is_paced = demand.step.is_best_effort && demand.image.is_some();
            let is_slowed_first = is_paced && RunEntry::is_slowed_first(run);
            (is_slowed_first && tracked.has_latency_target())
                || scorer.starts_slowly(demand, tracked)
        };
        let tracked = self.workers.get(worker);
        if tracked.is_some_and(|tracked| is_slow(tracked)) {
            PacePlan::LOWEST_PERCENT
        } else {
            FULL_PACE_PERCENT
        }
    }

    pub(super) fn image_of(&mut self, step: &StepSpec) -> Option<ImageNumber> {
        let image = step.image.as_ref()?;
        Some(self.images.number(image))
    }

    pub(super) fn run_entry(
        run: u32,
        incarnation: WorkerIncarnation,
        demand: &TaskDemand<'_>,
        state: RunState,
        now: MonoTime,
    ) -> RunEntry {
        let step = demand.step;
        RunEntry {
            run,
            incarnation,
            size: step.size,
            is_best_effort: step.is_best_effort,
            is_long_running: step.is_long_running,
            has_checkpoints: step.has_checkpoints,
            is_speculative: step.is_speculative,
            has_copy: false,
            is_overdue: demand.is_overdue,
            latency_target_ms: step.latency_target_ms,
            image: demand.image,
            state,
            since: now,
            stop_retry_at: now,
            start_percent: FULL_PACE_PERCENT,
            pace_percent: FULL_PACE_PERCENT,
            is_pace_lost: false,
            pace_changed: now,
            measurement: 0,
        }
    }
}
