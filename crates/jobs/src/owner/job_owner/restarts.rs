//! Room for long-running tasks that have to run again.
//!
//! Long-running tasks make no room by themselves. When workers leave or fail, their tasks find
//! room elsewhere only if some was left, and a large task finds it on one worker only if smaller
//! ones do not take each part that becomes free there.

use std::ops::RangeInclusive;

use crate::division::RestartNeed;
use crate::owner::DepartingNeed;
use crate::owner::JobOwner;
use crate::owner::UnplacedTask;
use crate::planner::RunHistory;
use crate::planner::TaskDemand;
use crate::spec::ResourceVector;
use crate::spec::TaskIdentity;
use crate::worker::TrackedWorker;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// One in this many workers is kept free of long-running tasks that have not run before, for
/// those that have. Racks and zones that leave at once are larger parts than that; most of
/// their tasks find room on other workers.
const RESTART_WORKER_DIVISOR: usize = 12;

/// How long a task waits in all before a worker is held for it, in milliseconds. Most find a
/// worker sooner.
const HOLD_AFTER_MS: u64 = 1_000;

/// Maximum number of workers that are held at the same time for tasks of this cell.
const HELD_WORKERS_MAX: usize = 4;

/// Maximum number of workers on which first runs leave what becomes free.
const AWAITED_WORKERS_MAX: usize = 8;

/// Maximum number of workers that are held at the same time for tasks of any cell.
const HELD_FOR_ANY_CELL_MAX: usize = 8;

/// One in this many workers at most is held for tasks of other cells, so that shorter tasks
/// find room in a small cell too.
const HELD_FOR_OTHERS_DIVISOR: usize = 8;

/// How long a task has waited in all for first runs to wait for it, in milliseconds. One that waits
/// longer may fit on no worker of the fleet, and new tasks do not wait for it for ever.
const PRECEDENCE_MS: RangeInclusive<u64> = 1_000..=30_000;

/// How long a job has been accepted at most while its first runs wait for tasks that have to run
/// again, in milliseconds. A job with room for it is to begin within nine seconds.
const FIRST_RUN_WAIT_MAX_MS: u64 = 6_000;

/// How long the need of a task is reported once it leaves, in milliseconds: until its next cell
/// has given it a worker or reports it. Workers that are held for it would be lost meanwhile.
const DEPARTING_MS: u64 = 1_000;

/// Maximum number of tasks that wait in a report, which every daemon reads.
const RESTART_NEEDS_MAX: usize = 8;

impl JobOwner {
    /// Needs of the tasks of this cell that have to run again and have found no worker for
    /// long, the longest first. First runs wait for them.
    #[must_use]
    pub fn restart_needs(&self, now: MonoTime) -> Vec<RestartNeed> {
        self.needs_waiting(now, |waited_ms| PRECEDENCE_MS.contains(&waited_ms))
    }

    /// Needs of the tasks that wait for so long that first runs do not wait for them any more,
    /// the longest first.
    #[must_use]
    pub fn late_restart_needs(&self, now: MonoTime) -> Vec<RestartNeed> {
        self.needs_waiting(now, |waited_ms| waited_ms > *PRECEDENCE_MS.end())
    }

    fn needs_waiting(&self, now: MonoTime, is_due: impl Fn(u64) -> bool) -> Vec<RestartNeed> {
        let due = self.unplaced_by_wait(now).into_iter();
        let due = due.filter(|(waited_ms, _)| is_due(*waited_ms));
        let needs = due.filter_map(|(_, task)| self.restart_need(&task));
        let departing = self.departing.iter().filter(|departing| {
            now.millis_since(departing.since) < DEPARTING_MS && is_due(departing.waited_ms)
        });
        let needs = needs.chain(departing.map(|departing| departing.need.clone()));
        needs.take(RESTART_NEEDS_MAX).collect()
    }

    /// Records the need of a task that is about to leave.
    pub(super) fn note_departing(&mut self, task: &TaskIdentity, now: MonoTime) {
        self.departing
            .retain(|departing| now.millis_since(departing.since) < DEPARTING_MS);
        let waited_ms = self.waited_in_all_ms(task, now);
        if let Some(need) = self.restart_need(task) {
            self.departing.push(DepartingNeed {
                task: *task,
                need,
                waited_ms,
                since: now,
            });
        }
    }

    /// Forgets that a task has left, as it has come.
    pub(super) fn note_arrived(&mut self, task: &TaskIdentity) {
        self.departing.retain(|departing| departing.task != *task);
    }

    /// Need of a task, unless it runs or is about to leave.
    fn restart_need(&self, task: &TaskIdentity) -> Option<RestartNeed> {
        let entry = self.jobs.get(&task.job)?;
        if !entry.has_waiting(task) {
            return None;
        }
        let step = &entry.spec.steps[task.step as usize];
        Some(RestartNeed {
            service: self.service_of(&entry.spec.queue, &entry.spec.terms.service),
            size: step.size,
            required_label: step.required_label.clone(),
        })
    }

    /// Whether more workers are free of long-running tasks than are kept for restarts. Workers
    /// that are leaving count for the number that is kept: their tasks are about to need it.
    pub(super) fn has_worker_for_first_runs(&self, now: MonoTime) -> bool {
        let scorer = self.worker_scorer(now);
        let (mut all, mut free) = (0, 0);
        for tracked in self.workers.values() {
            all += usize::from(tracked.is_listed);
            free += usize::from(scorer.is_usable(tracked) && !tracked.has_long_running());
        }
        free > all / RESTART_WORKER_DIVISOR
    }

    /// Records that a task which has run before finds no worker.
    pub(super) fn record_unplaced(&mut self, demand: &TaskDemand<'_>, now: MonoTime) {
        if demand.history == RunHistory::Started && demand.step.may_run_alone() {
            self.unplaced
                .get_or_insert_with(demand.task, || UnplacedTask::new(now))
                .is_refused = true;
        }
    }

    /// Chooses the workers on which no other tasks start, each for a task that has waited long:
    /// it fits there as soon as the shorter tasks have ended.
    pub(super) fn hold_workers(&mut self, now: MonoTime) {
        self.held.retain(|_, ()| false);
        let jobs = &self.jobs;
        self.unplaced.retain(|task, _| {
            let entry = jobs.get(&task.job);
            entry.is_some_and(|entry| entry.has_waiting(task))
        });
        let due = self.unplaced_by_wait(now).into_iter();
        let due = due.take_while(|(waited_ms, _)| *waited_ms >= HOLD_AFTER_MS);
        for (_, task) in due {
            if self.held.len() >= HELD_WORKERS_MAX {
                break;
            }
            let held = self.held.clone();
            if let Some(worker) = self.next_worker_for(&task, |name| !held.contains(name), now) {
                self.held.insert(worker, ());
            }
        }
        self.hold_workers_for_others(now);
    }

    /// Chooses the workers on which first runs of long-running tasks leave what becomes free,
    /// one for each task of any cell that waits: the one that is closest to having room for it.
    /// Nothing makes room from long-running runs, so what they leave has to add up there; on
    /// other workers first runs take nothing that would be of use.
    pub(super) fn await_restarts(&mut self, now: MonoTime) {
        self.awaited.retain(|_, ()| false);
        let own = self.restart_needs(now);
        for need in own.iter().chain(&self.restarts_elsewhere) {
            if self.awaited.len() >= AWAITED_WORKERS_MAX {
                return;
            }
            let scorer = self.worker_scorer(now);
            let is_candidate = |name: &WorkerName, tracked: &TrackedWorker| {
                let entry = tracked.entry.as_ref();
                scorer.is_usable(tracked)
                    && entry.is_some_and(|entry| need.could_run_on(entry))
                    && !self.awaited.contains(name)
            };
            if let Some(worker) = self.closest_worker(&need.size, is_candidate) {
                self.awaited.insert(worker, ());
            }
        }
    }

    /// Whether a task has run before, and if not, how long its job has waited.
    pub(super) fn history_of(&self, task: &TaskIdentity, now: MonoTime) -> RunHistory {
        if self.next_run(task) > 1 {
            return RunHistory::Started;
        }
        let entry = self.jobs.get(&task.job);
        if entry.is_some_and(|entry| entry.age.millis(now) <= FIRST_RUN_WAIT_MAX_MS) {
            RunHistory::New
        } else {
            RunHistory::Overdue
        }
    }

    /// Holds workers for tasks of other cells. They learn of what is free only from reports,
    /// and shorter tasks of this cell would have taken it by then. Those for which first runs do
    /// not wait any more come last.
    fn hold_workers_for_others(&mut self, now: MonoTime) {
        let share = self.workers.len().div_ceil(HELD_FOR_OTHERS_DIVISOR);
        let held_max = HELD_FOR_ANY_CELL_MAX.min(self.held.len() + share);
        let late = &self.late_restarts_elsewhere;
        for need in self.restarts_elsewhere.iter().chain(late) {
            if self.held.len() >= held_max {
                return;
            }
            let scorer = self.worker_scorer(now);
            let is_candidate = |name: &WorkerName, tracked: &TrackedWorker| {
                let entry = tracked.entry.as_ref();
                scorer.is_usable(tracked)
                    && entry.is_some_and(|entry| need.could_run_on(entry))
                    && need.size.fits(&tracked.room_without_short_runs())
                    && !self.held.contains(name)
            };
            if let Some(worker) = self.freest_worker(is_candidate) {
                self.held.insert(worker, ());
            }
        }
    }

    /// Whether a worker has room for the task once its shorter tasks have ended.
    pub(super) fn has_worker_beside_short_runs(
        &mut self,
        task: &TaskIdentity,
        now: MonoTime,
    ) -> bool {
        self.next_worker_for(task, |_| true, now).is_some()
    }

    /// Worker with the most free processor time among those that have room for the task once
    /// their shorter tasks have ended, of those that are open to it.
    fn next_worker_for(
        &mut self,
        task: &TaskIdentity,
        is_open: impl Fn(&WorkerName) -> bool,
        now: MonoTime,
    ) -> Option<WorkerName> {
        let spec = self.jobs.get(&task.job)?.spec.clone();
        let step = &spec.steps[task.step as usize];
        let service = self.service_of(&spec.queue, &spec.terms.service);
        let needs_ticket = self.advisor_timing(&spec.queue).is_some();
        let demand = self.demand(task, step, &service, needs_ticket, now);
        let scorer = self.worker_scorer(now);
        let is_candidate = |name: &WorkerName, tracked: &TrackedWorker| {
            scorer.is_usable(tracked)
                && scorer.is_suitable(&demand, tracked)
                && step.size.fits(&tracked.room_without_short_runs())
                && is_open(name)
        };
        self.freest_worker(is_candidate)
    }

    /// Worker whose long-running runs leave the most of what a task needs, of those that pass.
    fn closest_worker(
        &self,
        size: &ResourceVector,
        is_candidate: impl Fn(&WorkerName, &TrackedWorker) -> bool,
    ) -> Option<WorkerName> {
        self.workers
            .iter()
            .filter(|(name, tracked)| is_candidate(name, tracked))
            .max_by_key(|(_, tracked)| {
                let room = tracked.room_without_short_runs();
                (size.fits(&room), room.cpu_milli, room.memory_mib)
            })
            .map(|(name, _)| name.clone())
    }

    /// Worker with the most free processor time of those that pass.
    fn freest_worker(
        &self,
        is_candidate: impl Fn(&WorkerName, &TrackedWorker) -> bool,
    ) -> Option<WorkerName> {
        let free = |tracked: &TrackedWorker| {
            let entry = tracked.entry.as_ref();
            entry.map_or(0, |entry| entry.capacity.minus(tracked.used()).cpu_milli)
        };
        self.workers
            .iter()
            .filter(|(name, tracked)| is_candidate(name, tracked))
            .max_by_key(|(_, tracked)| free(tracked))
            .map(|(name, _)| name.clone())
    }
}
