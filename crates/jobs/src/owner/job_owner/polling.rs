//! Polling of workers, and handling of their responses.

use crate::owner::DeferredEffect;
use crate::owner::JobOwner;
use crate::owner::OwnerEffect;
use crate::owner::PollRequest;
use crate::owner::RunCause;
use crate::owner::StopRequest;
use crate::spec::TaskIdentity;
use crate::worker::EndKind;
use crate::worker::EndedRun;
use crate::worker::PollOutcome;
use crate::worker::PollResponse;
use crate::worker::RunState;
use crate::worker::RunningRun;
use crate::worker::TrackedWorker;
use crate::worker::WorkerClock;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// Time for which a worker holds its response until a run ends, in milliseconds.
const POLL_WAIT_MS: u64 = 1_000;

/// The same, for a while after a change of pace, when latencies are watched more closely, in
/// milliseconds.
const CLOSE_POLL_WAIT_MS: u64 = 350;

/// Maximum time for which the next poll waits for ends to be stored, in milliseconds. It is
/// bounded so that leases do not expire while the store is unavailable.
const COMMIT_WAIT_MS: u64 = 1_200;

/// Delay before the next poll of a worker that did not respond, in milliseconds.
const POLL_RETRY_MS: u64 = 250;

impl JobOwner {
    /// Polls every worker that is due.
    pub fn poll_due_workers(&mut self, now: MonoTime) {
        let due: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, tracked)| is_due(tracked, now))
            .filter(|(_, tracked)| tracked.is_listed || !tracked.runs.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.poll_worker(&name, now);
        }
    }

    fn poll_worker(&mut self, name: &WorkerName, now: MonoTime) {
        let lease_end_ms = self.lease_end(name, now);
        let Some(tracked) = self.workers.get_mut(name) else {
            return;
        };
        let lease_end_ms = lease_end_ms.filter(|_| !tracked.is_unresponsive());
        let Some(address) = tracked.entry.as_ref().map(|entry| entry.address) else {
            return;
        };
        tracked.poll += 1;
        tracked.poll_sent = now;
        tracked.is_polling = true;
        tracked.batch_wait_since = None;
        let wait_ms = match (&mut tracked.clock, lease_end_ms) {
            (Some(clock), Some(end_ms)) => {
                clock.grant(end_ms);
                if tracked.is_polled_closely(now) {
                    CLOSE_POLL_WAIT_MS
                } else {
                    POLL_WAIT_MS
                }
            }
            _ => 0,
        };
        self.effects.push(OwnerEffect::Poll(PollRequest {
            worker: name.clone(),
            address,
            epoch: self.epoch,
            number: tracked.poll,
            lease_end_ms,
            stored_end: tracked.stored_end,
            wait_ms,
        }));
    }

    /// Handles the outcome of the poll with the given number.
    pub fn handle_poll_outcome(
        &mut self,
        name: &WorkerName,
        number: u64,
        outcome: PollOutcome,
        now: MonoTime,
        unix_ms: u64,
    ) {
        let Some(tracked) = self.workers.get_mut(name) else {
            return;
        };
        match outcome {
            PollOutcome::Responded(response) => {
                self.apply_response(name, number, &response, now, unix_ms);
            }
            PollOutcome::NoResponse | PollOutcome::OtherIncarnation => {
                // The time at which an earlier poll was sent is not kept.
                let is_latest = number == tracked.poll;
                let sent = if is_latest {
                    tracked.poll_sent
                } else {
                    MonoTime::default()
                };
                tracked.unanswered_poll = Some(sent);
                tracked.is_polling = false;
                tracked.next_poll = now.plus_millis(POLL_RETRY_MS);
            }
            PollOutcome::Fenced => self.is_deposed = true,
        }
    }

    fn apply_response(
        &mut self,
        name: &WorkerName,
        number: u64,
        response: &PollResponse,
        now: MonoTime,
        unix_ms: u64,
    ) {
        self.update_clock(name, response, now);
        for ended in &response.ended {
            self.apply_end(name, ended, now, unix_ms);
        }
        for running in &response.running {
            self.apply_running(name, number, running, now);
        }
        self.finish_missing(name, number, response, now, unix_ms);
        self.adapt_paces(name, now);
        let Some(tracked) = self.workers.get_mut(name) else {
            return;
        };
        tracked.last_response = now;
        tracked.unanswered_poll = None;
        let last = response.ended.last().map_or(0, |ended| ended.number);
        if last > tracked.stored_end {
            tracked.batch_wait_since = Some(now);
            self.deferred.push(DeferredEffect::Poll {
                worker: name.clone(),
                ends: last,
            });
        } else {
            tracked.is_polling = false;
            tracked.next_poll = now;
        }
        if tracked.clock.is_some() {
            self.send_due_stops(name, now);
        }
    }

    /// Updates the clock of a worker. A restarted worker counts its ends from 1 again; its
    /// earlier runs are finished later because the response does not list them.
    fn update_clock(&mut self, name: &WorkerName, response: &PollResponse, now: MonoTime) {
        let inherited_ms = self.limits.lease_max_ms;
        let Some(tracked) = self.workers.get_mut(name) else {
            return;
        };
        let has_restarted =
            tracked.clock.is_some() && tracked.life_unix_ms != response.life_unix_ms;
        if has_restarted {
            tracked.clock = None;
            tracked.stored_end = 0;
        }
        tracked.life_unix_ms = response.life_unix_ms;
        match &mut tracked.clock {
            Some(clock) => clock.update(response.clock_ms, now),
            None => tracked.clock = Some(WorkerClock::new(response.clock_ms, inherited_ms, now)),
        }
    }

    /// Finishes a run that the worker reports as ended, unless that end was handled before.
    fn apply_end(&mut self, name: &WorkerName, ended: &EndedRun, now: MonoTime, unix_ms: u64) {
        let Some(tracked) = self.workers.get_mut(name) else {
            return;
        };
        if ended.number <= tracked.stored_end {
            return;
        }
        let known = tracked.runs.get(&ended.task);
        if known.is_none_or(|run| run.run != ended.run) {
            match ended.kind {
                EndKind::Done => {
                    self.finish_by_earlier_run(name, &ended.task, ended.run, now, unix_ms);
                }
                EndKind::Failed => self.count_earlier_failure(name, &ended.task, ended.run, now),
                _ => {}
            }
            return;
        }
        match ended.kind {
            EndKind::Done => {
                tracked.breaker.record_success();
                tracked.last_completion = now;
            }
            EndKind::Failed => tracked.breaker.record_failure(now),
            _ => {}
        }
        self.store_checkpoint(&ended.task, ended.run, &ended.checkpoint);
        let cause = RunCause::Ended(ended.kind);
        self.finish_run(name, &ended.task, cause, now, unix_ms);
    }

    /// Updates a run that the worker reports as running, and stops a run that it should not
    /// have.
    fn apply_running(
        &mut self,
        name: &WorkerName,
        number: u64,
        running: &RunningRun,
        now: MonoTime,
    ) {
        let Some(tracked) = self.workers.get_mut(name) else {
            return;
        };
        let Some(address) = tracked.entry.as_ref().map(|entry| entry.address) else {
            return;
        };
        let known = tracked.runs.get_mut(&running.task);
        let Some(run) = known.filter(|run| run.run == running.run) else {
            self.effects.push(OwnerEffect::Stop(StopRequest {
                worker: name.clone(),
                address,
                epoch: self.epoch,
                task: running.task,
                run: running.run,
            }));
            return;
        };
        run.measurement = running.measurement;
        let is_inherited = run.state == RunState::Inherited;
        if is_inherited || run.state == RunState::Starting {
            run.state = RunState::Running { poll: number };
            run.pace_percent = running.pace_percent;
        }
        self.store_checkpoint(&running.task, running.run, &running.checkpoint);
        let job = self.jobs.get(&running.task.job);
        let is_active = job.is_some_and(|entry| !entry.progress.standing.is_final());
        if !is_active {
            self.stop_run(name, &running.task, now);
        }
    }

    /// Finishes the runs that the response must list if they existed, and does not.
    fn finish_missing(
        &mut self,
        name: &WorkerName,
        number: u64,
        response: &PollResponse,
        now: MonoTime,
        unix_ms: u64,
    ) {
        let Some(tracked) = self.workers.get(name) else {
            return;
        };
        let is_listed = |task: &TaskIdentity, number: u32| {
            let running = &response.running;
            running
                .iter()
                .any(|run| run.task == *task && run.run == number)
        };
        let missing: Vec<TaskIdentity> = tracked
            .runs
            .iter()
            .filter(|(_, run)| match run.state {
                RunState::Running { poll } | RunState::Stopping { poll } => number > poll,
                RunState::Inherited => true,
                _ => false,
            })
            .filter(|(task, run)| !is_listed(task, run.run))
            .map(|(task, _)| *task)
            .collect();
        for task in missing {
            self.finish_run(name, &task, RunCause::NotShown, now, unix_ms);
        }
    }

    /// Records the latest checkpoint of a run, for all tasks that may resume from it.
    fn store_checkpoint(&mut self, task: &TaskIdentity, number: u32, checkpoint: &str) {
        if checkpoint.is_empty() {
            return;
        }
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let sharing = if entry.spec.steps[task.step as usize].is_gang {
            0..entry.spec.steps[task.step as usize].tasks
        } else {
            task.index..task.index + 1
        };
        // A checkpoint of one task of a gang is valid for all, and all resume from the same one.
        for index in sharing {
            let member = TaskIdentity { index, ..*task };
            if let Some(progress) = entry.progress.task_mut(&member)
                && progress.run == number
                && *progress.checkpoint != *checkpoint
            {
                progress.checkpoint = checkpoint.into();
            }
        }
    }
}

fn is_due(tracked: &TrackedWorker, now: MonoTime) -> bool {
    match tracked.batch_wait_since {
        Some(since) => now.millis_since(since) >= COMMIT_WAIT_MS,
        None => !tracked.is_polling && tracked.next_poll <= now,
    }
}
