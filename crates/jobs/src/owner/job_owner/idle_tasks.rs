//! Long-running tasks that have run and do not run now.

use std::cmp::Reverse;

use crate::division::VacancyTable;
use crate::owner::DecisionEvent;
use crate::owner::IdleTask;
use crate::owner::JobAge;
use crate::owner::JobOwner;
use crate::owner::RunCause;
use crate::planner::PlacementCensus;
use crate::spec::TaskIdentity;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;

/// The shortest wait whose end is reported, in milliseconds.
const REPORTED_WAIT_MS: u64 = 1_000;

/// Maximum number of tasks of which the next owner learns for how long they have waited.
const REPORTED_TASKS_MAX: usize = 16;

/// Interval at which the causes of waits are sampled, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 300;

/// Maximum number of tasks whose causes are sampled at once, those that wait longest.
const SAMPLED_TASKS_MAX: usize = 16;

impl JobOwner {
    /// Records that a worker runs a task.
    pub(super) fn note_running(&mut self, task: &TaskIdentity) {
        if let Some(entry) = self.jobs.get_mut(&task.job) {
            entry.idle_tasks.remove(task);
        }
    }

    /// Records that a long-running task does not run any more. A run that is not known to have
    /// begun leaves the time as it was.
    pub(super) fn note_idle(&mut self, task: &TaskIdentity, cause: RunCause, now: MonoTime) {
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if !entry.spec.steps[task.step as usize].may_run_alone() {
            return;
        }
        let idle = JobAge::new(0, now);
        if matches!(cause, RunCause::Ended(_)) {
            entry.idle_tasks.insert(*task, idle);
        } else {
            entry.idle_tasks.get_or_insert_with(*task, || idle);
        }
    }

    /// Time since the latest run of a long-running task ended, over owners and cells as far as
    /// they have told, in milliseconds; `None` if it is not known to be idle.
    pub(super) fn idle_ms(&self, task: &TaskIdentity, now: MonoTime) -> Option<u64> {
        let entry = self.jobs.get(&task.job)?;
        let idle = entry.idle_tasks.get(task)?;
        Some(idle.millis(now))
    }

    /// Time for which a task without a worker has waited, over owners and cells as far as known,
    /// in milliseconds.
    pub(super) fn waited_in_all_ms(&self, task: &TaskIdentity, now: MonoTime) -> u64 {
        let unplaced = self.unplaced.get(task);
        let here_ms = unplaced.map_or(0, |unplaced| now.millis_since(unplaced.since));
        here_ms.max(self.idle_ms(task, now).unwrap_or_default())
    }

    /// Tasks that found no worker, with the time for which each has waited in all, the longest
    /// first.
    pub(super) fn unplaced_by_wait(&self, now: MonoTime) -> Vec<(u64, TaskIdentity)> {
        let mut waits: Vec<(u64, TaskIdentity)> = self
            .unplaced
            .keys()
            .map(|task| (self.waited_in_all_ms(task, now), *task))
            .collect();
        waits.sort_unstable_by_key(|(waited_ms, task)| (Reverse(*waited_ms), *task));
        waits
    }

    /// Tasks that found no worker and have waited longest, which the next owner learns of.
    #[must_use]
    pub fn idle_tasks(&self, now: MonoTime) -> Vec<IdleTask> {
        let longest = self.unplaced_by_wait(now).into_iter();
        let longest = longest.take(REPORTED_TASKS_MAX);
        longest
            .map(|(idle_ms, task)| IdleTask { task, idle_ms })
            .collect()
    }

    /// Takes over for how long tasks have waited under the earlier owner. To be called once the
    /// jobs are restored.
    pub fn restore_idle_tasks(&mut self, idle_tasks: &[IdleTask], now: MonoTime) {
        for idle in idle_tasks {
            let Some(entry) = self.jobs.get_mut(&idle.task.job) else {
                continue;
            };
            if entry.has_waiting(&idle.task) {
                let age = JobAge::new(idle.idle_ms, now);
                entry.idle_tasks.insert(idle.task, age);
            }
        }
    }

    /// Reports how many tasks wait that had run under an earlier owner. To be called once the
    /// cell is loaded.
    pub fn report_restored_waits(&mut self, now: MonoTime) {
        let (mut tasks, mut longest) = (0, None);
        for (job, entry) in self.jobs.iter() {
            for task in entry.waiting_alone(*job) {
                let wait = (self.idle_ms(&task, now), task);
                tasks += 1;
                longest = longest.max(Some(wait));
            }
        }
        if let Some((idle_ms, longest)) = longest {
            self.decisions.push(DecisionEvent::WaitsRestored {
                tasks,
                longest,
                idle_ms,
            });
        }
    }

    /// Reports that a task no longer waits here: it is assigned, or leaves for `target`.
    pub(super) fn report_wait_end(
        &mut self,
        task: TaskIdentity,
        run: u32,
        target: Option<CellNumber>,
        now: MonoTime,
    ) {
        let Some(unplaced) = self.unplaced.get(&task) else {
            return;
        };
        let waited_ms = now.millis_since(unplaced.since);
        let idle_ms = self.idle_ms(&task, now);
        if idle_ms.unwrap_or_default().max(waited_ms) < REPORTED_WAIT_MS {
            return;
        }
        self.decisions.push(DecisionEvent::WaitEnded {
            task,
            run,
            target,
            waited_ms,
            idle_ms,
            causes: unplaced.causes,
        });
    }

    /// Samples what keeps the tasks that wait longest, if it is due.
    pub(super) fn sample_waits(&mut self, now: MonoTime) {
        if now.millis_since(self.waits_sampled) < SAMPLE_INTERVAL_MS {
            return;
        }
        self.waits_sampled = now;
        let longest = self.unplaced_by_wait(now).into_iter();
        for (_, task) in longest.take(SAMPLED_TASKS_MAX) {
            self.sample_wait(&task, now);
        }
    }

    /// Counts the view among those that a waiting task has met.
    pub(super) fn count_view(
        &mut self,
        own: CellNumber,
        task: &TaskIdentity,
        vacancies: &VacancyTable,
    ) {
        let Some(entry) = self.jobs.get(&task.job) else {
            return;
        };
        let step = &entry.spec.steps[task.step as usize];
        let service = self.service_of(&entry.spec.queue, &entry.spec.terms.service);
        let has_room = vacancies.has_other(own, step, &service);
        if let Some(unplaced) = self.unplaced.get_mut(task) {
            unplaced.causes.count_view(has_room);
        }
    }

    fn sample_wait(&mut self, task: &TaskIdentity, now: MonoTime) {
        let waiting = self.jobs.get(&task.job);
        let Some(entry) = waiting.filter(|entry| entry.has_waiting(task)) else {
            return;
        };
        let spec = entry.spec.clone();
        let step = &spec.steps[task.step as usize];
        let service = self.service_of(&spec.queue, &spec.terms.service);
        let needs_ticket = self.advisor_timing(&spec.queue).is_some();
        let demand = self.demand(task, step, &service, needs_ticket, now);
        let has_worker = self.choose_worker(&demand, None, now).is_some();
        let workers = self.workers.values().map(|tracked| &**tracked);
        let census = PlacementCensus::of(&demand, &self.worker_scorer(now), workers);
        let Some(unplaced) = self.unplaced.get_mut(task) else {
            return;
        };
        if has_worker {
            unplaced.causes.count_turn();
        } else {
            unplaced.causes.count_refusal(&census);
        }
    }
}
