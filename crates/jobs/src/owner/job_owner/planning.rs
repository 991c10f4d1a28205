//! Decides which tasks start where.

use crate::order::StepOrder;
use crate::order::TaskAddress;
use crate::owner::JobOwner;
use crate::owner::WaitKey;
use crate::planner::JobUrgency;
use crate::planner::TaskDemand;
use crate::planner::UnplacedDemands;
use sapphirestile_core::MonoTime;

/// The most tasks that one pass assigns, so that the first of them are not held up
/// by the last.
const STARTS_MAX: usize = 64;

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
