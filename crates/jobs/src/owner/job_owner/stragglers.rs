//! Handling of stragglers: runs that take far longer than others.

use crate::owner::JobOwner;
use crate::owner::StopCause;
use crate::planner::RunHistory;
use crate::planner::TaskDemand;
use crate::spec::TaskIdentity;
use crate::worker::RunEntry;
use crate::worker::RunState;
use crate::worker::TrackedWorker;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// A run that takes longer than this multiple of the queue's average gets a second run
/// beside it, if its step allows that.
const COPY_FACTOR: u64 = 2;

/// A run that takes longer than this multiple of the average is stopped, if no run has
/// completed recently on its worker: no healthy worker takes this long.
const STUCK_FACTOR: u64 = 4;

/// The same, for a best-effort run, which has to share idle processor time.
const STUCK_BEST_EFFORT_FACTOR: u64 = 8;

/// Each further run of a task may take twice as long as the one before, up to this many times:
/// the task may be longer than others of its queue, and has to complete in the end.
const STUCK_DOUBLINGS_MAX: u32 = 6;

/// A worker on which no run has completed for this long is considered stuck, in
/// milliseconds.
const IDLE_WORKER_MS: u64 = 1_500;

/// Runs younger than this are never stragglers, in milliseconds.
const AGE_MIN_MS: u64 = 800;

const FULL_PERCENT: u64 = 100;

impl JobOwner {
    /// Starts copies of slow runs, and stops those that appear stuck.
    pub(super) fn handle_stragglers(&mut self, now: MonoTime) {
        let mut copies = Vec::new();
        let mut stuck = Vec::new();
        for (name, tracked) in self.workers.iter() {
            for (task, run) in tracked.runs.iter() {
                let Some(mean_ms) = self.mean_ms(task) else {
                    continue;
                };
                if is_stuck(tracked, run, mean_ms, now) {
                    stuck.push((name.clone(), *task));
                } else if needs_copy(run, mean_ms, now) {
                    copies.push((name.clone(), *task));
                }
            }
        }
        for (worker, task) in copies {
            self.copy_run(&worker, &task, now);
        }
        for (worker, task) in stuck {
            self.stop_run(&worker, &task, StopCause::Stuck, now);
            if let Some(tracked) = self.workers.get_mut(&worker) {
                tracked.breaker.trip(now);
            }
        }
    }

    fn mean_ms(&self, task: &TaskIdentity) -> Option<u64> {
        let entry = self.jobs.get(&task.job)?;
        self.durations.mean_ms(&entry.spec.queue)
    }

    /// Assigns a second run of a task beside the first. The first to complete counts.
    fn copy_run(&mut self, worker: &WorkerName, task: &TaskIdentity, now: MonoTime) {
        let Some(entry) = self.jobs.get(&task.job) else {
            return;
        };
        let is_current = entry
            .progress
            .task(task)
            .is_some_and(|progress| progress.is_assigned_to(worker));
        if entry.progress.standing.is_final() || !is_current {
            return;
        }
        let spec = entry.spec.clone();
        let step = &spec.steps[task.step as usize];
        let service = self.service_of(&spec.queue, &spec.terms.service);
        let demand = TaskDemand {
            task: *task,
            service: &service,
            step,
            image: self.image_of(step),
            needs_ticket: self.advisor_timing(&spec.queue).is_some(),
            history: RunHistory::Started,
            is_overdue: false,
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

    fn run_mut(&mut self, worker: &WorkerName, task: &TaskIdentity) -> Option<&mut RunEntry> {
        self.workers.get_mut(worker)?.runs.get_mut(task)
    }

    /// Stops all runs of a task that is done.
    pub(super) fn stop_copies(&mut self, task: &TaskIdentity, now: MonoTime) {
        let running: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, tracked)| tracked.runs.contains(task))
            .map(|(name, _)| name.clone())
            .collect();
        for worker in running {
            self.stop_run(&worker, task, StopCause::CopyDone, now);
        }
    }
}

const fn age_if_running(run: &RunEntry, now: MonoTime) -> Option<u64> {
    if run.is_long_running || !matches!(run.state, RunState::Running { .. }) {
        return None;
    }
    Some(now.millis_since(run.since))
}

fn needs_copy(run: &RunEntry, mean_ms: u64, now: MonoTime) -> bool {
    let late_ms = (mean_ms * COPY_FACTOR).max(AGE_MIN_MS);
    let age_ms = age_if_running(run, now);
    run.is_speculative && !run.has_copy && age_ms.is_some_and(|age_ms| age_ms > late_ms)
}

/// Time that a run needs at its pace for what takes `full_ms` at full speed. A paused run gets no
/// more: it is better restarted elsewhere.
const fn at_pace(run: &RunEntry, full_ms: u64) -> u64 {
    if run.pace_percent == 0 {
        return full_ms;
    }
    full_ms.saturating_mul(FULL_PERCENT) / run.pace_percent as u64
}

fn is_stuck(tracked: &TrackedWorker, run: &RunEntry, mean_ms: u64, now: MonoTime) -> bool {
    let factor = if run.is_best_effort {
        STUCK_BEST_EFFORT_FACTOR
    } else {
        STUCK_FACTOR
    };
    let doublings = run.run.saturating_sub(1).min(STUCK_DOUBLINGS_MAX);
    let late_ms = at_pace(run, (mean_ms * factor).max(AGE_MIN_MS) << doublings);
    let is_late = age_if_running(run, now).is_some_and(|age_ms| age_ms > late_ms);
    is_late && now.millis_since(tracked.last_completion) > IDLE_WORKER_MS
}
