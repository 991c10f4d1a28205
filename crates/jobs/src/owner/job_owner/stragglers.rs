//! Deals with runs that take far longer than others.

use crate::order::TaskAddress;
use crate::owner::JobOwner;
use crate::planner::TaskDemand;
use crate::worker::RunEntry;
use crate::worker::RunStanding;
use crate::worker::WorkerView;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// A run is copied once it takes so many times the mean of its queue, where its step
/// allows copies.
const COPY_FACTOR: u64 = 2;

/// A run is given up once it takes so many times the mean, on a worker that has done
/// nothing lately: no sound worker takes as long.
const GIVE_UP_FACTOR: u64 = 4;

/// The same, for a run that has to share what processor time others leave.
const GIVE_UP_SHARED_FACTOR: u64 = 8;

/// A worker that has done nothing for so long stands still, in milliseconds.
const STILL_MS: u64 = 1_500;

/// Runs younger than this are never late, in milliseconds.
const AGE_MIN_MS: u64 = 800;

impl JobOwner {
    /// Copies late runs, or gives them up for others.
    pub(super) fn relieve_stragglers(&mut self, now: MonoTime) {
        let mut copies = Vec::new();
        let mut given_up = Vec::new();
        for (name, view) in self.workers.iter() {
            for (task, run) in view.runs.iter() {
                let Some(mean_ms) = self.mean_ms(task) else {
                    continue;
                };
                if is_given_up(view, run, mean_ms, now) {
                    given_up.push((name.clone(), *task));
                } else if is_copied(run, mean_ms, now) {
                    copies.push((name.clone(), *task));
                }
            }
        }
        for (worker, task) in copies {
            self.copy_run(&worker, &task, now);
        }
        for (worker, task) in given_up {
            self.stop_run(&worker, &task, now);
            if let Some(view) = self.workers.get_mut(&worker) {
                view.trust.set_aside(now);
            }
        }
    }

    fn mean_ms(&self, task: &TaskAddress) -> Option<u64> {
        let entry = self.jobs.get(&task.job)?;
        self.durations.mean_ms(&entry.order.queue)
    }

    /// Starts a second run of a task beside the first. Whichever is done first counts.
    fn copy_run(&mut self, worker: &WorkerName, task: &TaskAddress, now: MonoTime) {
        let Some(entry) = self.jobs.get(&task.job) else {
            return;
        };
        let is_current = entry
            .record
            .task(task)
            .is_some_and(|record| record.is_assigned_to(worker));
        if entry.record.standing.is_final() || !is_current {
            return;
        }
        let order = entry.order.clone();
        let step = &order.steps[task.step as usize];
        let service = self.service_of(&order.queue, &order.terms.service);
        let demand = TaskDemand {
            task: *task,
            service: &service,
            step,
            image: self.image_of(step),
            needs_ticket: self.advice_terms(&order.queue).is_some(),
        };
        let Some(other) = self.choose_worker(&demand, None, now) else {
            return;
        };
        if let Some(run) = self.run_mut(worker, task) {
            run.has_copy = true;
        }
        let number = self.next_run(task);
        self.assign(&other, &demand, number, now);
        if let Some(run) = self.run_mut(&other, task) {
            run.has_copy = true;
        }
    }

    fn run_mut(&mut self, worker: &WorkerName, task: &TaskAddress) -> Option<&mut RunEntry> {
        self.workers.get_mut(worker)?.runs.get_mut(task)
    }

    /// Stops the runs of a task that is done.
    pub(super) fn stop_copies(&mut self, task: &TaskAddress, now: MonoTime) {
        let running: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, view)| view.runs.contains(task))
            .map(|(name, _)| name.clone())
            .collect();
        for worker in running {
            self.stop_run(&worker, task, now);
        }
    }
}

const fn age_if_running(run: &RunEntry, now: MonoTime) -> Option<u64> {
    if run.is_lasting || !matches!(run.standing, RunStanding::Running { .. }) {
        return None;
    }
    Some(now.millis_since(run.since))
}

fn is_copied(run: &RunEntry, mean_ms: u64, now: MonoTime) -> bool {
    let late_ms = (mean_ms * COPY_FACTOR).max(AGE_MIN_MS);
    let age_ms = age_if_running(run, now);
    run.allows_copies && !run.has_copy && age_ms.is_some_and(|age_ms| age_ms > late_ms)
}

fn is_given_up(view: &WorkerView, run: &RunEntry, mean_ms: u64, now: MonoTime) -> bool {
    let factor = if run.uses_leftover {
        GIVE_UP_SHARED_FACTOR
    } else {
        GIVE_UP_FACTOR
    };
    let late_ms = (mean_ms * factor).max(AGE_MIN_MS);
    let is_late = age_if_running(run, now).is_some_and(|age_ms| age_ms > late_ms);
    is_late && now.millis_since(view.did) > STILL_MS
}
