//! Sends orders to workers and takes their answers.

use crate::order::JobIdentity;
use crate::order::TaskAddress;
use crate::owner::JobOwner;
use crate::owner::OwnerEffect;
use crate::owner::RunCause;
use crate::owner::StartOrder;
use crate::owner::StopOrder;
use crate::worker::RunEntry;
use crate::worker::RunStanding;
use crate::worker::StartOutcome;
use crate::worker::StopOutcome;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// How long the owner waits before it sends a stop again, in milliseconds.
const STOP_RETRY_MS: u64 = 400;

impl JobOwner {
    /// Sends the start of a run whose assignment is stored, unless it is no longer
    /// wanted there.
    pub(super) fn release_start(
        &mut self,
        worker: &WorkerName,
        task: &TaskAddress,
        number: u32,
        now: MonoTime,
        unix_ms: u64,
    ) {
        let is_usable = self
            .workers
            .get(worker)
            .is_some_and(|view| self.worker_choice(now).is_usable(view));
        let lease_end_ms = self.lease_end(worker, now);
        let ticket = self.ticket_for(worker, task, now);
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(run) = view.runs.get_mut(task) else {
            return;
        };
        if run.run != number || run.standing != RunStanding::Planned {
            return;
        }
        let entry = self.jobs.get(&task.job);
        let open = entry.filter(|entry| !entry.record.standing.is_final());
        let record = open
            .and_then(|entry| entry.record.task(task))
            .filter(|record| record.is_assigned_to(worker));
        let (Some(entry), Some(record), Some(lease_end_ms), true) =
            (open, record, lease_end_ms, is_usable)
        else {
            self.settle_run(worker, task, RunCause::Withdrawn, now, unix_ms);
            return;
        };
        let Some(address) = view.entry.as_ref().map(|entry| entry.address) else {
            return;
        };
        let Some(ticket) = ticket else {
            self.settle_run(worker, task, RunCause::Withdrawn, now, unix_ms);
            return;
        };
        run.standing = RunStanding::Starting;
        run.since = now;
        if let Some(clock) = &mut view.clock {
            clock.grant(lease_end_ms);
        }
        self.effects.push(OwnerEffect::Start(StartOrder {
            worker: worker.clone(),
            address,
            epoch: self.epoch,
            task: *task,
            run: number,
            order: entry.order.clone(),
            checkpoint: record.checkpoint.clone(),
            ticket,
            lease_end_ms,
        }));
    }

    /// Takes what came of a start.
    pub fn start_answered(
        &mut self,
        worker: &WorkerName,
        task: &TaskAddress,
        number: u32,
        outcome: StartOutcome,
        now: MonoTime,
        unix_ms: u64,
    ) {
        if outcome == StartOutcome::Fenced {
            self.is_deposed = true;
            return;
        }
        let Some((run, look)) = self.run_and_look(worker, task, number) else {
            return;
        };
        let is_starting = run.standing == RunStanding::Starting;
        match outcome {
            StartOutcome::Accepted if is_starting => run.standing = RunStanding::Running { look },
            StartOutcome::Accepted => {}
            StartOutcome::Unknown => {
                self.distrust(worker, now);
                if is_starting {
                    self.stop_run(worker, task, now);
                }
            }
            StartOutcome::TooLate | StartOutcome::NoTicket => {
                if outcome == StartOutcome::NoTicket {
                    self.advice.drop_ticket((*task).into(), worker);
                }
                let cause = RunCause::NotTaken(outcome);
                self.settle_run(worker, task, cause, now, unix_ms);
            }
            _ => {
                self.distrust(worker, now);
                let cause = RunCause::NotTaken(outcome);
                self.settle_run(worker, task, cause, now, unix_ms);
            }
        }
    }

    /// A run by its number, and the latest look at its worker that has begun.
    fn run_and_look(
        &mut self,
        worker: &WorkerName,
        task: &TaskAddress,
        number: u32,
    ) -> Option<(&mut RunEntry, u64)> {
        let view = self.workers.get_mut(worker)?;
        let look = view.look;
        let run = view.runs.get_mut(task)?;
        (run.run == number).then_some((run, look))
    }

    fn distrust(&mut self, worker: &WorkerName, now: MonoTime) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.trust.note_failure(now);
        }
    }

    /// Takes what came of a stop.
    pub fn stop_answered(
        &mut self,
        worker: &WorkerName,
        task: &TaskAddress,
        number: u32,
        outcome: StopOutcome,
        now: MonoTime,
    ) {
        if outcome == StopOutcome::Fenced {
            self.is_deposed = true;
            return;
        }
        let Some((run, look)) = self.run_and_look(worker, task, number) else {
            return;
        };
        if run.standing != RunStanding::Unstopped {
            return;
        }
        match outcome {
            StopOutcome::Accepted => run.standing = RunStanding::Stopping { look },
            _ => run.stop_due = now.plus_millis(STOP_RETRY_MS),
        }
    }

    /// Stops every run of a job.
    pub(super) fn stop_runs_of(&mut self, identity: JobIdentity, now: MonoTime) {
        let runs: Vec<(WorkerName, TaskAddress)> = self
            .workers
            .iter()
            .flat_map(|(name, view)| view.runs.keys().map(move |task| (name, task)))
            .filter(|(_, task)| task.job == identity)
            .map(|(name, task)| (name.clone(), *task))
            .collect();
        for (worker, task) in runs {
            self.stop_run(&worker, &task, now);
        }
    }

    /// Has a run stopped. One whose start was not sent is held back when its batch
    /// is stored, and one that an earlier owner assigned when it is seen.
    pub(super) fn stop_run(&mut self, worker: &WorkerName, task: &TaskAddress, now: MonoTime) {
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(run) = view.runs.get_mut(task) else {
            return;
        };
        if run.standing == RunStanding::Planned || run.is_ending() {
            return;
        }
        run.standing = RunStanding::Unstopped;
        run.stop_due = now;
        self.send_due_stops(worker, now);
    }

    /// Sends the stops of a worker that are due, for the first time or again.
    pub(super) fn send_due_stops(&mut self, worker: &WorkerName, now: MonoTime) {
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(address) = view.entry.as_ref().map(|entry| entry.address) else {
            return;
        };
        for (task, run) in view.runs.iter_mut() {
            if run.standing != RunStanding::Unstopped || run.stop_due > now {
                continue;
            }
            // An answer puts the next time nearer.
            run.stop_due = now.plus_millis(STOP_RETRY_MS * 5);
            self.effects.push(OwnerEffect::Stop(StopOrder {
                worker: worker.clone(),
                address,
                epoch: self.epoch,
                task: *task,
                run: run.run,
            }));
        }
    }

    /// When a lease that is given now ends, on the worker's clock in milliseconds.
    /// None when the owner cannot be sure for how long it still is the owner.
    pub(super) fn lease_end(&self, worker: &WorkerName, now: MonoTime) -> Option<u64> {
        let clock = self.workers.get(worker)?.clock?;
        let authority_end = self.authority.plus_millis(self.limits.authority_ms);
        let left_ms = authority_end.millis_since(now);
        if left_ms == 0 {
            return None;
        }
        let lease_ms = left_ms.min(self.limits.lease_ms);
        Some(clock.estimate(now).saturating_add(lease_ms))
    }
}
