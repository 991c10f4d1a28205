//! Looks at workers and takes in what they show.

use crate::order::TaskAddress;
use crate::owner::HeldEffect;
use crate::owner::JobOwner;
use crate::owner::LookOrder;
use crate::owner::OwnerEffect;
use crate::owner::RunCause;
use crate::owner::StopOrder;
use crate::worker::EndKind;
use crate::worker::EndedRun;
use crate::worker::LookAnswer;
use crate::worker::LookOutcome;
use crate::worker::RunStanding;
use crate::worker::RunningRun;
use crate::worker::WorkerClock;
use crate::worker::WorkerView;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// How long an answer waits for an end, in milliseconds.
const WAIT_MS: u64 = 1_000;

/// How long it waits while latencies beside slowed tasks are watched.
const WATCH_WAIT_MS: u64 = 350;

/// How long the next look waits for ends to be stored, in milliseconds: a store that
/// is away must not have leases end.
const BATCH_WAIT_MS: u64 = 1_200;

/// How long the owner waits before it looks again at a worker that did not answer,
/// in milliseconds.
const SILENCE_PAUSE_MS: u64 = 250;

impl JobOwner {
    /// Looks at every worker that is due.
    pub fn look_at_due(&mut self, now: MonoTime) {
        let due: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, view)| is_due(view, now))
            .filter(|(_, view)| view.is_listed || !view.runs.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.look_at(&name, now);
        }
    }

    fn look_at(&mut self, name: &WorkerName, now: MonoTime) {
        let lease_end_ms = self.lease_end(name, now);
        let Some(view) = self.workers.get_mut(name) else {
            return;
        };
        let lease_end_ms = lease_end_ms.filter(|_| !view.is_silent);
        let Some(address) = view.entry.as_ref().map(|entry| entry.address) else {
            return;
        };
        view.look += 1;
        view.is_looked_at = true;
        view.awaits_batch = None;
        let wait_ms = match (&mut view.clock, lease_end_ms) {
            (Some(clock), Some(end_ms)) => {
                clock.grant(end_ms);
                if view.is_watched(now) {
                    WATCH_WAIT_MS
                } else {
                    WAIT_MS
                }
            }
            _ => 0,
        };
        self.effects.push(OwnerEffect::Look(LookOrder {
            worker: name.clone(),
            address,
            epoch: self.epoch,
            number: view.look,
            lease_end_ms,
            ends_stored: view.ends_stored,
            wait_ms,
        }));
    }

    /// Takes what came of a look that had `number`.
    pub fn look_answered(
        &mut self,
        name: &WorkerName,
        number: u64,
        outcome: LookOutcome,
        now: MonoTime,
        unix_ms: u64,
    ) {
        let Some(view) = self.workers.get_mut(name) else {
            return;
        };
        match outcome {
            LookOutcome::Seen(answer) => {
                self.take_answer(name, number, &answer, now, unix_ms);
            }
            LookOutcome::Silent | LookOutcome::OtherLife => {
                view.is_silent = true;
                view.is_looked_at = false;
                view.looked = now.plus_millis(SILENCE_PAUSE_MS);
            }
            LookOutcome::Fenced => self.is_deposed = true,
        }
    }

    fn take_answer(
        &mut self,
        name: &WorkerName,
        number: u64,
        answer: &LookAnswer,
        now: MonoTime,
        unix_ms: u64,
    ) {
        self.hear_clock(name, answer, now);
        for ended in &answer.ended {
            self.take_end(name, ended, now, unix_ms);
        }
        for running in &answer.running {
            self.take_running(name, number, running, now);
        }
        self.settle_missing(name, number, answer, now, unix_ms);
        self.adapt_paces(name, now);
        let Some(view) = self.workers.get_mut(name) else {
            return;
        };
        view.seen = now;
        view.is_silent = false;
        let last = answer.ended.last().map_or(0, |ended| ended.number);
        if last > view.ends_stored {
            view.awaits_batch = Some(now);
            self.held.push(HeldEffect::Look {
                worker: name.clone(),
                ends: last,
            });
        } else {
            view.is_looked_at = false;
            view.looked = now;
        }
        if view.clock.is_some() {
            self.send_due_stops(name, now);
        }
    }

    /// Takes the clock in. A worker that began anew counts its ends from 1; what it
    /// ran before is settled because the answer does not show it.
    fn hear_clock(&mut self, name: &WorkerName, answer: &LookAnswer, now: MonoTime) {
        let inherited_ms = self.limits.lease_max_ms;
        let Some(view) = self.workers.get_mut(name) else {
            return;
        };
        let is_reborn = view.clock.is_some() && view.life_unix_ms != answer.life_unix_ms;
        if is_reborn {
            view.clock = None;
            view.ends_stored = 0;
        }
        view.life_unix_ms = answer.life_unix_ms;
        match &mut view.clock {
            Some(clock) => clock.hear(answer.clock_ms, now),
            None => view.clock = Some(WorkerClock::heard(answer.clock_ms, inherited_ms, now)),
        }
    }

    fn take_end(&mut self, name: &WorkerName, ended: &EndedRun, now: MonoTime, unix_ms: u64) {
        let Some(view) = self.workers.get_mut(name) else {
            return;
        };
        if ended.number <= view.ends_stored {
            return;
        }
        let known = view.runs.get(&ended.task);
        if known.is_none_or(|run| run.run != ended.run) {
            if ended.kind == EndKind::Done {
                self.finish_by_earlier_run(name, &ended.task, ended.run, now, unix_ms);
            }
            return;
        }
        match ended.kind {
            EndKind::Done => {
                view.trust.note_success();
                view.did = now;
            }
            EndKind::Failed => view.trust.note_failure(now),
            _ => {}
        }
        self.keep_checkpoint(&ended.task, ended.run, &ended.checkpoint);
        let cause = RunCause::Ended(ended.kind);
        self.settle_run(name, &ended.task, cause, now, unix_ms);
    }

    fn take_running(
        &mut self,
        name: &WorkerName,
        number: u64,
        running: &RunningRun,
        now: MonoTime,
    ) {
        let Some(view) = self.workers.get_mut(name) else {
            return;
        };
        let Some(address) = view.entry.as_ref().map(|entry| entry.address) else {
            return;
        };
        let known = view.runs.get_mut(&running.task);
        let Some(run) = known.filter(|run| run.run == running.run) else {
            self.effects.push(OwnerEffect::Stop(StopOrder {
                worker: name.clone(),
                address,
                epoch: self.epoch,
                task: running.task,
                run: running.run,
            }));
            return;
        };
        run.figure = running.figure;
        let is_inherited = run.standing == RunStanding::Inherited;
        if is_inherited || run.standing == RunStanding::Starting {
            run.standing = RunStanding::Running { look: number };
            run.pace_percent = running.pace_percent;
        }
        self.keep_checkpoint(&running.task, running.run, &running.checkpoint);
        let job = self.jobs.get(&running.task.job);
        let is_wanted = job.is_some_and(|entry| !entry.record.standing.is_final());
        if !is_wanted {
            self.stop_run(name, &running.task, now);
        }
    }

    /// Settles the runs that the look would show if they were there.
    fn settle_missing(
        &mut self,
        name: &WorkerName,
        number: u64,
        answer: &LookAnswer,
        now: MonoTime,
        unix_ms: u64,
    ) {
        let Some(view) = self.workers.get(name) else {
            return;
        };
        let is_shown = |task: &TaskAddress, number: u32| {
            let running = &answer.running;
            running
                .iter()
                .any(|run| run.task == *task && run.run == number)
        };
        let missing: Vec<TaskAddress> = view
            .runs
            .iter()
            .filter(|(_, run)| match run.standing {
                RunStanding::Running { look } | RunStanding::Stopping { look } => number > look,
                RunStanding::Inherited => true,
                _ => false,
            })
            .filter(|(task, run)| !is_shown(task, run.run))
            .map(|(task, _)| *task)
            .collect();
        for task in missing {
            self.settle_run(name, &task, RunCause::NotShown, now, unix_ms);
        }
    }

    fn keep_checkpoint(&mut self, task: &TaskAddress, number: u32, checkpoint: &str) {
        if checkpoint.is_empty() {
            return;
        }
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let gang = if entry.order.steps[task.step as usize].is_gang {
            0..entry.order.steps[task.step as usize].tasks
        } else {
            task.index..task.index + 1
        };
        // What one member of a gang saved is good for all, and all go on from the same.
        for index in gang {
            let member = TaskAddress { index, ..*task };
            if let Some(record) = entry.record.task_mut(&member)
                && record.run == number
                && *record.checkpoint != *checkpoint
            {
                record.checkpoint = checkpoint.into();
            }
        }
    }
}

fn is_due(view: &WorkerView, now: MonoTime) -> bool {
    match view.awaits_batch {
        Some(since) => now.millis_since(since) >= BATCH_WAIT_MS,
        None => !view.is_looked_at && view.looked <= now,
    }
}
