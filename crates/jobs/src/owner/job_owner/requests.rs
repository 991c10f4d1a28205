//! Requests to start and stop runs, and handling of their outcomes.

use crate::owner::DecisionEvent;
use crate::owner::JobOwner;
use crate::owner::OwnerEffect;
use crate::owner::RunCause;
use crate::owner::StartRequest;
use crate::owner::StopCause;
use crate::owner::StopRequest;
use crate::spec::JobIdentity;
use crate::spec::TaskIdentity;
use crate::worker::RunEntry;
use crate::worker::RunState;
use crate::worker::StartOutcome;
use crate::worker::StopOutcome;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// Delay before a stop request is sent again after it failed, in milliseconds.
const STOP_RETRY_MS: u64 = 400;

impl JobOwner {
    /// Sends the start request of a run whose assignment is stored, or withdraws the run if it
    /// must not start there any more.
    pub(super) fn send_start(
        &mut self,
        worker: &WorkerName,
        task: &TaskIdentity,
        number: u32,
        now: MonoTime,
        unix_ms: u64,
    ) {
        let is_usable = self
            .workers
            .get(worker)
            .is_some_and(|tracked| self.worker_scorer(now).is_usable(tracked));
        let lease_end_ms = self.lease_end(worker, now);
        let ticket = self.ticket_for(worker, task, now);
        let Some(tracked) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(run) = tracked.runs.get_mut(task) else {
            return;
        };
        if run.run != number || run.state != RunState::Planned {
            return;
        }
        let entry = self.jobs.get(&task.job);
        let active = entry.filter(|entry| !entry.progress.standing.is_final());
        let progress = active
            .and_then(|entry| entry.progress.task(task))
            .filter(|progress| progress.is_assigned_to(worker));
        let (Some(entry), Some(progress), Some(lease_end_ms), true) =
            (active, progress, lease_end_ms, is_usable)
        else {
            self.finish_run(worker, task, RunCause::Withdrawn, now, unix_ms);
            return;
        };
        let Some(address) = tracked.entry.as_ref().map(|entry| entry.address) else {
            return;
        };
        let Some(ticket) = ticket else {
            self.finish_run(worker, task, RunCause::Withdrawn, now, unix_ms);
            return;
        };
        run.state = RunState::Starting;
        run.since = now;
        tracked.grant_lease(lease_end_ms);
        let incarnation = tracked.incarnation();
        self.effects.push(OwnerEffect::Start(StartRequest {
            worker: worker.clone(),
            address,
            incarnation,
            epoch: self.epoch,
            task: *task,
            run: number,
            spec: entry.spec.clone(),
            checkpoint: progress.checkpoint.clone(),
            ticket,
            lease_end_ms,
        }));
    }

    /// Handles the outcome of a start request.
    pub fn handle_start_outcome(
        &mut self,
        worker: &WorkerName,
        task: &TaskIdentity,
        number: u32,
        outcome: StartOutcome,
        now: MonoTime,
        unix_ms: u64,
    ) {
        if outcome == StartOutcome::Fenced {
            self.note_fenced(worker);
            return;
        }
        let Some((run, poll)) = self.run_and_poll(worker, task, number) else {
            return;
        };
        let is_starting = run.state == RunState::Starting;
        if outcome == StartOutcome::Accepted {
            if is_starting {
                run.state = RunState::Running { poll };
                self.set_start_pace(worker, task, now);
            }
            self.note_begun(&task.job);
            self.note_running(task);
            return;
        }
        match outcome {
            StartOutcome::Unknown => {
                self.record_worker_failure(worker, now);
                if is_starting {
                    self.stop_run(worker, task, StopCause::StartUnknown, now);
                }
            }
            StartOutcome::TooLate | StartOutcome::NoTicket => {
                if outcome == StartOutcome::NoTicket {
                    self.advice.drop_ticket((*task).into(), worker);
                }
                let cause = RunCause::NotTaken(outcome);
                self.finish_run(worker, task, cause, now, unix_ms);
            }
            _ => {
                self.record_worker_failure(worker, now);
                let cause = RunCause::NotTaken(outcome);
                self.finish_run(worker, task, cause, now, unix_ms);
            }
        }
    }

    /// Finds a run by its number, with the number of the latest poll of its worker.
    fn run_and_poll(
        &mut self,
        worker: &WorkerName,
        task: &TaskIdentity,
        number: u32,
    ) -> Option<(&mut RunEntry, u64)> {
        let tracked = self.workers.get_mut(worker)?;
        let poll = tracked.poll;
        let run = tracked.runs.get_mut(task)?;
        (run.run == number).then_some((run, poll))
    }

    /// Records that a worker has seen a higher epoch, so that another owner has taken over.
    pub(super) fn note_fenced(&mut self, worker: &WorkerName) {
        self.is_deposed = true;
        self.decisions.push(DecisionEvent::Fenced {
            worker: worker.clone(),
        });
    }

    fn record_worker_failure(&mut self, worker: &WorkerName, now: MonoTime) {
        if let Some(tracked) = self.workers.get_mut(worker) {
            tracked.breaker.record_failure(now);
        }
    }

    /// Handles the outcome of a stop request.
    pub fn handle_stop_outcome(
        &mut self,
        worker: &WorkerName,
        task: &TaskIdentity,
        number: u32,
        outcome: StopOutcome,
        now: MonoTime,
    ) {
        if outcome == StopOutcome::Fenced {
            self.note_fenced(worker);
            return;
        }
        let Some((run, poll)) = self.run_and_poll(worker, task, number) else {
            return;
        };
        if run.state != RunState::StopPending {
            return;
        }
        match outcome {
            StopOutcome::Accepted(incarnation) => {
                run.state = RunState::Stopping { poll, incarnation };
            }
            _ => run.stop_retry_at = now.plus_millis(STOP_RETRY_MS),
        }
    }

    /// Stops every run of a job.
    pub(super) fn stop_runs_of(&mut self, identity: JobIdentity, now: MonoTime) {
        let runs: Vec<(WorkerName, TaskIdentity)> = self
            .workers
            .iter()
            .flat_map(|(name, tracked)| tracked.runs.keys().map(move |task| (name, task)))
            .filter(|(_, task)| task.job == identity)
            .map(|(name, task)| (name.clone(), *task))
            .collect();
        for (worker, task) in runs {
            self.stop_run(&worker, &task, StopCause::JobEnded, now);
        }
    }

    /// Requests that a run stops. A planned run is not stopped here: its start is withheld
    /// when its batch is stored. An inherited run on a worker that is not listed yet is stopped
    /// once the worker is.
    pub(super) fn stop_run(
        &mut self,
        worker: &WorkerName,
        task: &TaskIdentity,
        cause: StopCause,
        now: MonoTime,
    ) {
        let Some(tracked) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(run) = tracked.runs.get_mut(task) else {
            return;
        };
        if run.state == RunState::Planned || run.is_ending() {
            return;
        }
        run.state = RunState::StopPending;
        run.stop_retry_at = now;
        self.decisions.push(DecisionEvent::StopRequested {
            task: *task,
            run: run.run,
            worker: worker.clone(),
            cause,
            age_ms: now.millis_since(run.since),
        });
        self.send_due_stops(worker, now);
    }

    /// Sends the stop requests of a worker that are due, for the first time or again.
    pub(super) fn send_due_stops(&mut self, worker: &WorkerName, now: MonoTime) {
        let Some(tracked) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(address) = tracked.entry.as_ref().map(|entry| entry.address) else {
            return;
        };
        for (task, run) in tracked.runs.iter_mut() {
            if run.state != RunState::StopPending || run.stop_retry_at > now {
                continue;
            }
            // The outcome of the request brings the retry forward.
            run.stop_retry_at = now.plus_millis(STOP_RETRY_MS * 5);
            self.effects.push(OwnerEffect::Stop(StopRequest {
                worker: worker.clone(),
                address,
                epoch: self.epoch,
                task: *task,
                run: run.run,
            }));
        }
    }

    /// End of a lease that is granted now, on the worker's clock in milliseconds. `None` if the
    /// worker may get none, or if the owner has no authority.
    pub(super) fn lease_end(&self, worker: &WorkerName, now: MonoTime) -> Option<u64> {
        let tracked = self.workers.get(worker)?;
        let clock = tracked.clock().filter(|_| tracked.may_get_lease())?;
        let lease_ms = self.lease_ms(now)?;
        Some(clock.estimate(now).saturating_add(lease_ms))
    }

    /// Duration of a lease that is granted now, in milliseconds; `None` if the owner has no
    /// authority.
    pub(super) fn lease_ms(&self, now: MonoTime) -> Option<u64> {
        let authority_end = self.authority?.plus_millis(self.limits.authority_ms);
        let left_ms = authority_end.millis_since(now);
        (left_ms > 0).then(|| left_ms.min(self.limits.lease_ms))
    }
}
