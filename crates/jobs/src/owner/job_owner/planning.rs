//! Planning of the next starts.

use crate::owner::DecisionEvent;
use crate::owner::JobEntry;
use crate::owner::JobOwner;
use crate::owner::WaitKey;
use crate::planner::JobUrgency;
use crate::planner::PlacementCensus;
use crate::planner::TaskDemand;
use crate::planner::UnplacedDemands;
use crate::spec::StepSpec;
use crate::spec::TaskIdentity;
use sapphirestile_core::MonoTime;

/// Number of assigned tasks at which a planning pass ends, so that the first starts are not
/// delayed by the last.
pub(super) const STARTS_PER_PASS_MAX: usize = 64;

/// Shortest time between two reports of tasks that found no worker, in milliseconds.
const PASSED_OVER_INTERVAL_MS: u64 = 1_000;

impl JobOwner {
    /// Assigns tasks that can start to workers with free capacity, the most urgent first.
    /// Returns whether the pass ended early, so that more tasks may be able to start.
    pub fn plan_starts(&mut self, now: MonoTime, unix_ms: u64) -> bool {
        self.begin_due_occurrences(unix_ms);
        if self.waiting.is_empty() {
            return false;
        }
        self.spare.for_latency = self.has_spare_worker(now);
        self.spare.for_first_runs = self.has_worker_for_first_runs(now);
        self.hold_workers(now);
        self.await_restarts(now);
        let ended_early = self.plan_by_urgency(now, unix_ms);
        self.sample_waits(now);
        self.report_longest_wait(now);
        ended_early
    }

    fn plan_by_urgency(&mut self, now: MonoTime, unix_ms: u64) -> bool {
        self.note_new_waits(now);
        let keys = self.waiting_by_urgency(now);
        let mut planned = self.plan_overdue(now, unix_ms);
        let mut unplaced = UnplacedDemands::default();
        for key in keys {
            planned += self.plan_job(&key, now, unix_ms, &mut unplaced);
            if planned >= STARTS_PER_PASS_MAX {
                return true;
            }
        }
        false
    }

    /// Jobs with a task that can start, the most urgent first.
    fn waiting_by_urgency(&self, now: MonoTime) -> Vec<WaitKey> {
        let urgency = |key: &WaitKey| {
            let entry = self.jobs.get(&key.job)?;
            Some(self.urgency_of(entry, now))
        };
        let mut keys: Vec<(Option<JobUrgency>, WaitKey)> = self
            .waiting
            .keys()
            .map(|key| (urgency(key), *key))
            .collect();
        keys.sort_unstable();
        keys.into_iter().map(|(_, key)| key).collect()
    }

    /// Urgency of a job at this time.
    pub(super) fn urgency_of(&self, entry: &JobEntry, now: MonoTime) -> JobUrgency {
        let queue = self.config.queues.get(&entry.spec.queue);
        let age_ms = entry.age.millis(now);
        JobUrgency::of(&entry.spec, &entry.progress, queue, &self.durations, age_ms)
    }

    fn plan_job(
        &mut self,
        key: &WaitKey,
        now: MonoTime,
        unix_ms: u64,
        unplaced: &mut UnplacedDemands,
    ) -> usize {
        let Some(entry) = self.jobs.get(&key.job) else {
            return 0;
        };
        if self.waits_for_other_cell(entry, now, unix_ms) {
            return 0;
        }
        let spec = entry.spec.clone();
        let service = self.service_of(&spec.queue, &spec.terms.service);
        let timing = self.advisor_timing(&spec.queue);
        let demands: Vec<TaskDemand<'_>> = entry.startable(key, &service).collect();
        let startable: Vec<(TaskIdentity, &StepSpec)> = demands
            .iter()
            .map(|demand| (demand.task, &spec.steps[demand.task.step as usize]))
            .collect();
        let mut planned = 0;
        let mut gang: Option<(u32, u32)> = None;
        for (index, (task, step)) in startable.iter().enumerate() {
            let demand = self.demand(task, step, &service, timing.is_some(), now);
            if step.is_gang {
                if gang.replace((task.occurrence, task.step)) != Some((task.occurrence, task.step))
                {
                    let members =
                        self.members(&startable[index..], &service, timing.is_some(), now);
                    let placed = self.plan_gang(&members, now);
                    if placed == 0 {
                        self.request_advice(&demand, timing, now);
                    }
                    planned += placed;
                }
                continue;
            }
            if unplaced.rules_out(&demand) {
                self.record_unplaced(&demand, now);
                continue;
            }
            if let Some(worker) = self.choose_worker(&demand, None, now) {
                let run = self.next_run(task);
                self.assign(&worker, &demand, run, now);
                planned += 1;
            } else {
                self.request_advice(&demand, timing, now);
                unplaced.record(&demand);
                self.record_unplaced(&demand, now);
                self.report_passed_over(&demand, now);
            }
        }
        if planned > 0 {
            self.refresh_waiting(key);
        }
        planned
    }

    /// Reports a long-running task that found no worker, at most one in an interval.
    fn report_passed_over(&mut self, demand: &TaskDemand<'_>, now: MonoTime) {
        let is_due = now.millis_since(self.passed_over_reported) >= PASSED_OVER_INTERVAL_MS;
        if !demand.step.is_long_running || !is_due {
            return;
        }
        self.passed_over_reported = now;
        let workers = self.workers.values().map(|tracked| &**tracked);
        let census = PlacementCensus::of(demand, &self.worker_scorer(now), workers);
        self.decisions.push(DecisionEvent::PassedOver {
            task: demand.task,
            cpu_milli: demand.step.size.cpu_milli,
            census,
        });
    }

    pub(super) fn demand<'a>(
        &mut self,
        task: &TaskIdentity,
        step: &'a StepSpec,
        service: &'a str,
        needs_ticket: bool,
        now: MonoTime,
    ) -> TaskDemand<'a> {
        TaskDemand {
            task: *task,
            service,
            step,
            image: self.image_of(step),
            needs_ticket,
            history: self.history_of(task, now),
            is_overdue: false,
        }
    }

    /// Demands of the first task and of those after it that belong to the same gang.
    pub(super) fn members<'a>(
        &mut self,
        startable: &[(TaskIdentity, &'a StepSpec)],
        service: &'a str,
        needs_ticket: bool,
        now: MonoTime,
    ) -> Vec<TaskDemand<'a>> {
        let Some((first, _)) = startable.first() else {
            return Vec::new();
        };
        let of_gang = startable
            .iter()
            .take_while(|(task, _)| (task.occurrence, task.step) == (first.occurrence, first.step));
        of_gang
            .map(|(task, step)| self.demand(task, step, service, needs_ticket, now))
            .collect()
    }

    pub(super) fn next_run(&self, task: &TaskIdentity) -> u32 {
        let entry = self.jobs.get(&task.job);
        let progress = entry.and_then(|entry| entry.progress.task(task));
        1 + progress.map_or(0, |progress| progress.run)
    }

    pub(super) fn service_of(&self, queue: &str, accepted: &str) -> Box<str> {
        let queue = self.config.queues.get(queue);
        queue.map_or_else(|| accepted.into(), |queue| queue.terms.service.clone())
    }

    /// Removes a job from the waiting list if none of its tasks can start any more.
    pub(super) fn refresh_waiting(&mut self, key: &WaitKey) {
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if entry.startable(key, "").next().is_none() {
            entry.wait_key = None;
            self.waiting.remove(key);
        }
    }
}
