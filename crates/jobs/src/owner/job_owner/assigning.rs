//! Gives tasks to workers.

use crate::order::StepOrder;
use crate::owner::DecisionNote;
use crate::owner::HeldEffect;
use crate::owner::JobOwner;
use crate::pacing::ImageNumber;
use crate::planner::TaskDemand;
use crate::planner::WorkerChoice;
use crate::state::Assignment;
use crate::state::JobStanding;
use crate::state::TaskPhase;
use crate::worker::RunEntry;
use crate::worker::RunStanding;
use crate::worker::WorkerView;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// The pace that a run begins at, in percent.
const FULL_PACE_PERCENT: u32 = 100;

/// One worker in so many is kept without callers, for tasks that disturb, while
/// others have room.
const KEPT_DIVISOR: usize = 6;

impl JobOwner {
    /// The best worker for a task, of one rack if that is asked for.
    pub(super) fn choose_worker(
        &self,
        demand: &TaskDemand<'_>,
        rack: Option<&str>,
        now: MonoTime,
    ) -> Option<WorkerName> {
        let choice = self.worker_choice(now);
        let is_there = |view: &WorkerView| rack.is_none_or(|rack| view.has_label(rack));
        let scored = self.workers.iter().filter_map(|(name, view)| {
            if !is_there(view) {
                return None;
            }
            let score = choice.score(demand, view)?;
            Some((score, name))
        });
        scored
            .max_by_key(|(score, _)| *score)
            .map(|(_, name)| name.clone())
    }

    /// What is known of workers now.
    pub(super) fn worker_choice(&self, now: MonoTime) -> WorkerChoice<'_> {
        WorkerChoice {
            zones_out: &self.zones_out,
            book: &self.disturbance,
            advice: &self.advice,
            may_open: self.may_open,
            now,
        }
    }

    /// Whether more workers are without callers than are kept so.
    pub(super) fn has_spare_workers(&self, now: MonoTime) -> bool {
        let choice = self.worker_choice(now);
        let usable = self.workers.values().filter(|view| choice.is_usable(view));
        let (mut all, mut without_callers) = (0, 0);
        for view in usable {
            all += 1;
            without_callers += usize::from(!view.has_callers());
        }
        without_callers > all / KEPT_DIVISOR
    }

    pub(super) fn assign(
        &mut self,
        worker: &WorkerName,
        demand: &TaskDemand<'_>,
        run: u32,
        now: MonoTime,
    ) {
        let task = demand.task;
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if entry.record.standing == JobStanding::Waiting {
            entry.record.standing = JobStanding::Running;
        }
        let Some(record) = entry.record.task_mut(&task) else {
            return;
        };
        assert!(
            record.phase == TaskPhase::Waiting || demand.step.allows_copies,
            "{task} is assigned twice"
        );
        assert!(run > record.run, "the runs of {task} do not rise");
        record.run = run;
        record.phase = TaskPhase::Assigned(Assignment {
            worker: worker.clone(),
            life_unix_ms: view.life_unix_ms,
        });
        view.add_run(
            task,
            Self::run_entry(run, demand, RunStanding::Planned, now),
        );
        self.changed.insert(task.job, ());
        self.notes.push(DecisionNote::Assigned {
            task,
            run,
            worker: worker.clone(),
        });
        self.held.push(HeldEffect::Start {
            worker: worker.clone(),
            task,
            run,
        });
        if demand.step.latency_target_ms.is_some() {
            self.may_open = self.has_spare_workers(now);
        }
    }

    pub(super) fn image_of(&mut self, step: &StepOrder) -> Option<ImageNumber> {
        let image = step.image.as_ref()?;
        Some(self.images.number(image))
    }

    pub(super) fn run_entry(
        run: u32,
        demand: &TaskDemand<'_>,
        standing: RunStanding,
        now: MonoTime,
    ) -> RunEntry {
        let step = demand.step;
        RunEntry {
            run,
            size: step.size,
            uses_leftover: step.uses_leftover,
            is_lasting: step.is_lasting,
            saves_progress: step.saves_progress,
            allows_copies: step.allows_copies,
            has_copy: false,
            latency_target_ms: step.latency_target_ms,
            image: demand.image,
            standing,
            since: now,
            stop_due: now,
            pace_percent: FULL_PACE_PERCENT,
            paced: now,
            figure: 0,
        }
    }
}
