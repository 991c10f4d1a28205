//! Decides which tasks start where.

use crate::order::StepOrder;
use crate::order::TaskAddress;
use crate::owner::DecisionNote;
use crate::owner::HeldEffect;
use crate::owner::JobOwner;
use crate::owner::WaitKey;
use crate::pacing::ImageNumber;
use crate::planner::JobUrgency;
use crate::planner::TaskDemand;
use crate::planner::UnplacedDemands;
use crate::planner::WorkerChoice;
use crate::state::Assignment;
use crate::state::JobStanding;
use crate::state::TaskPhase;
use crate::worker::RunEntry;
use crate::worker::RunStanding;
use crate::worker::WorkerView;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// The most tasks that one pass assigns, so that the first of them are not held up
/// by the last.
const STARTS_MAX: usize = 64;

/// The pace that a run begins at, in percent.
const FULL_PACE_PERCENT: u32 = 100;

/// One worker in so many is kept without callers, for tasks that disturb, while
/// others have room.
const KEPT_DIVISOR: usize = 6;

impl JobOwner {
    /// Assigns tasks that can start to workers with room, the most urgent first.
    /// Returns whether some may be left that could start too.
    pub fn plan_starts(&mut self, now: MonoTime, unix_ms: u64) -> bool {
        self.begin_due(unix_ms);
        if self.waiting.is_empty() {
            return false;
        }
        self.may_open = self.has_spare_workers(now);
        let keys = self.waiting_by_urgency(now);
        let mut planned = 0;
        let mut unplaced = UnplacedDemands::default();
        for key in keys {
            planned += self.plan_job(&key, now, &mut unplaced);
            if planned >= STARTS_MAX {
                return true;
            }
        }
        false
    }

    /// The jobs with a task that can start, the most urgent first.
    fn waiting_by_urgency(&self, now: MonoTime) -> Vec<WaitKey> {
        let urgency = |key: &WaitKey| {
            let entry = self.jobs.get(&key.job)?;
            let queue = self.config.queues.get(&entry.order.queue);
            let age_ms = now.millis_since(entry.since);
            let record = &entry.record;
            Some(JobUrgency::of(
                &entry.order,
                record,
                queue,
                &self.durations,
                age_ms,
            ))
        };
        let mut keys: Vec<(Option<JobUrgency>, WaitKey)> = self
            .waiting
            .keys()
            .map(|key| (urgency(key), *key))
            .collect();
        keys.sort_unstable();
        keys.into_iter().map(|(_, key)| key).collect()
    }

    fn plan_job(&mut self, key: &WaitKey, now: MonoTime, unplaced: &mut UnplacedDemands) -> usize {
        let Some(entry) = self.jobs.get(&key.job) else {
            return 0;
        };
        let order = entry.order.clone();
        let service = self.service_of(&order.queue, &order.terms.service);
        let terms = self.advice_terms(&order.queue);
        let demands: Vec<TaskDemand<'_>> = entry.startable(key, &service).collect();
        let addresses: Vec<(TaskAddress, &StepOrder)> = demands
            .iter()
            .map(|demand| (demand.task, &order.steps[demand.task.step as usize]))
            .collect();
        let mut planned = 0;
        let mut gang: Option<(u32, u32)> = None;
        for (place, (task, step)) in addresses.iter().enumerate() {
            let demand = self.demand(task, step, &service, terms.is_some());
            if step.is_gang {
                if gang.replace((task.occurrence, task.step)) != Some((task.occurrence, task.step))
                {
                    let members = self.members(&addresses[place..], &service, terms.is_some());
                    let placed = self.plan_gang(&members, now);
                    if placed == 0 {
                        self.seek_advice(&demand, terms, now);
                    }
                    planned += placed;
                }
                continue;
            }
            if unplaced.rule_out(&demand) {
                continue;
            }
            if let Some(worker) = self.choose_worker(&demand, None, now) {
                let run = self.next_run(task);
                self.assign(&worker, &demand, run, now);
                planned += 1;
            } else {
                self.seek_advice(&demand, terms, now);
                unplaced.note(&demand);
            }
        }
        if planned > 0 {
            self.refresh_waiting(key);
        }
        planned
    }

    fn demand<'a>(
        &mut self,
        task: &TaskAddress,
        step: &'a StepOrder,
        service: &'a str,
        needs_ticket: bool,
    ) -> TaskDemand<'a> {
        TaskDemand {
            task: *task,
            service,
            step,
            image: self.image_of(step),
            needs_ticket,
        }
    }

    /// The first task and those after it that are of its gang.
    fn members<'a>(
        &mut self,
        addresses: &[(TaskAddress, &'a StepOrder)],
        service: &'a str,
        needs_ticket: bool,
    ) -> Vec<TaskDemand<'a>> {
        let Some((first, _)) = addresses.first() else {
            return Vec::new();
        };
        let of_gang = addresses
            .iter()
            .take_while(|(task, _)| (task.occurrence, task.step) == (first.occurrence, first.step));
        of_gang
            .map(|(task, step)| self.demand(task, step, service, needs_ticket))
            .collect()
    }

    pub(super) fn next_run(&self, task: &TaskAddress) -> u32 {
        let entry = self.jobs.get(&task.job);
        let record = entry.and_then(|entry| entry.record.task(task));
        1 + record.map_or(0, |record| record.run)
    }

    pub(super) fn service_of(&self, queue: &str, accepted: &str) -> Box<str> {
        let queue = self.config.queues.get(queue);
        queue.map_or_else(|| accepted.into(), |queue| queue.terms.service.clone())
    }

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
    fn has_spare_workers(&self, now: MonoTime) -> bool {
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

    /// Takes a job off the waiting list when nothing of it can start any more.
    fn refresh_waiting(&mut self, key: &WaitKey) {
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if entry.startable(key, "").next().is_none() {
            entry.wait_key = None;
            self.waiting.remove(key);
        }
    }
}
