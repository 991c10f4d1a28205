//! Handling of workers' responses to polls.

use crate::owner::DecisionEvent;
use crate::owner::DeferredEffect;
use crate::owner::JobOwner;
use crate::owner::RunCause;
use crate::owner::StopCause;
use crate::spec::TaskIdentity;
use crate::worker::EndKind;
use crate::worker::EndList;
use crate::worker::EndPosition;
use crate::worker::EndedRun;
use crate::worker::KnownIncarnation;
use crate::worker::LeaseGrant;
use crate::worker::PollResponse;
use crate::worker::RunState;
use crate::worker::RunningRun;
use crate::worker::WorkerClock;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// Delay before the next poll of a worker that still lists ends which are stored, in
/// milliseconds: it responds at once while it does.
const KEPT_ENDS_DELAY_MS: u64 = 20;

/// Delay before the next poll of a worker that responds and gets no lease, in milliseconds: it
/// responds at once, since nothing keeps its runs alive meanwhile.
const WITHHELD_DELAY_MS: u64 = 200;

impl JobOwner {
    pub(super) fn apply_response(
        &mut self,
        name: &WorkerName,
        number: u64,
        response: &PollResponse,
        now: MonoTime,
        unix_ms: u64,
    ) {
        self.note_incarnation(name, response, now);
        self.note_unknown_load(name, response);
        for ended in response.ended.runs() {
            self.apply_end(name, ended, now, unix_ms);
        }
        for running in &response.running {
            self.apply_running(name, number, running, now);
        }
        self.stop_again_after_restart(name, response.incarnation, now);
        self.finish_missing(name, number, response, now, unix_ms);
        self.repeat_paces(name, now);
        self.adapt_paces(name, now);
        let has_authority = self.lease_ms(now).is_some();
        let Some(tracked) = self.workers.get_mut(name) else {
            return;
        };
        tracked.last_response = now;
        tracked.silence = None;
        self.has_grant_change |= tracked.lease_grant == LeaseGrant::Withheld;
        let unstored = response
            .ended
            .runs()
            .last()
            .filter(|last| !tracked.known.is_some_and(|known| known.has_stored(last)));
        if let Some(last) = unstored {
            tracked.batch_wait_since = Some(now);
            self.deferred.push(DeferredEffect::Poll {
                worker: name.clone(),
                end: EndPosition {
                    incarnation: response.incarnation,
                    number: last.number,
                },
            });
        } else {
            tracked.is_polling = false;
            tracked.next_poll = if !response.ended.runs().is_empty() {
                now.plus_millis(KEPT_ENDS_DELAY_MS)
            } else if has_authority && tracked.may_get_lease() {
                now
            } else {
                now.plus_millis(WITHHELD_DELAY_MS)
            };
        }
        self.send_due_stops(name, now);
    }

    /// Updates what is known about the incarnation that responded. If it is another than
    /// before, nothing of the earlier one is kept; the runs of that one are finished later
    /// because the response does not list them. An earlier owner that knew this one has bounded
    /// its leases. If it has followed another one that an owner knew, it is taken to hold the
    /// longest lease, as if a request for that one had reached it.
    fn note_incarnation(&mut self, name: &WorkerName, response: &PollResponse, now: MonoTime) {
        let inherited_lease_end = self.inherited_lease_end(name);
        let is_new_name = self.responded.insert(name.clone(), ()).is_none();
        let Some(tracked) = self.workers.get_mut(name) else {
            return;
        };
        let lease_max_ms = self.limits.lease_max_ms;
        let is_new = is_new_name && tracked.runs.is_empty();
        let inherited_ms = if is_new || tracked.runs_only(response.incarnation) {
            let left_ms = tracked.lease_left_ms(inherited_lease_end, now);
            left_ms.min(lease_max_ms)
        } else {
            lease_max_ms
        };
        match &mut tracked.known {
            Some(known) if known.incarnation() == response.incarnation => {
                known.clock.update(response.clock_ms, now);
                return;
            }
            Some(earlier) => self.decisions.push(DecisionEvent::WorkerRestarted {
                worker: name.clone(),
                stored_end: earlier.stored_end(),
                incarnation: response.incarnation,
            }),
            None => {}
        }
        let clock = WorkerClock::new(response.clock_ms, inherited_ms, now);
        tracked.known = Some(KnownIncarnation::new(response.incarnation, clock));
    }

    /// Finishes a run that the worker reports as ended, unless that end was handled before. If
    /// the job was left out, the end is stored as it is.
    fn apply_end(&mut self, name: &WorkerName, ended: &EndedRun, now: MonoTime, unix_ms: u64) {
        let Some(tracked) = self.workers.get_mut(name) else {
            return;
        };
        if tracked.known.is_some_and(|known| known.has_stored(ended)) {
            return;
        }
        if self.is_left_out(&ended.task.job) {
            self.keep_end(name, ended);
            return;
        }
        self.finish_ended(name, ended, now, unix_ms);
    }

    /// Finishes a run that a worker has reported as ended, to this owner or to an earlier one.
    pub(super) fn finish_ended(
        &mut self,
        name: &WorkerName,
        ended: &EndedRun,
        now: MonoTime,
        unix_ms: u64,
    ) {
        self.note_begun(&ended.task.job);
        let tracked = self.workers.get_mut(name);
        let tracked = tracked.filter(|tracked| {
            let known = tracked.runs.get(&ended.task);
            known.is_some_and(|run| run.run == ended.run)
        });
        let Some(tracked) = tracked else {
            match ended.kind {
                EndKind::Done => {
                    self.finish_by_earlier_run(name, &ended.task, ended.run, now, unix_ms);
                }
                EndKind::Failed => self.count_earlier_failure(name, &ended.task, ended.run, now),
                _ => {}
            }
            return;
        };
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
    /// have. A run of a job that was left out goes on.
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
        if self.left_out.contains(&running.task.job) {
            return;
        }
        let known = tracked.runs.get_mut(&running.task);
        let Some(run) = known.filter(|run| run.run == running.run) else {
            self.stop_unexpected(name, running, now);
            return;
        };
        run.measurement = running.measurement;
        let is_inherited = run.state == RunState::Inherited;
        if is_inherited || run.state == RunState::Starting {
            run.state = RunState::Running { poll: number };
            run.pace_percent = running.pace_percent;
            self.set_start_pace(name, &running.task, now);
        }
        self.note_begun(&running.task.job);
        self.note_running(&running.task);
        self.store_checkpoint(&running.task, running.run, &running.checkpoint);
        let job = self.jobs.get(&running.task.job);
        let is_active = job.is_some_and(|entry| !entry.progress.standing.is_final());
        if !is_active {
            self.stop_run(name, &running.task, StopCause::JobEnded, now);
        }
    }

    /// Finishes the runs that the response must list if they existed, and does not. A response
    /// that leaves ends out need not list any run.
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
        let Some(known) = &tracked.known else {
            return;
        };
        let EndList::Complete(ends) = &response.ended else {
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
                RunState::Running { poll } | RunState::Stopping { poll, .. } => number > poll,
                RunState::Inherited => true,
                _ => false,
            })
            .filter(|(task, run)| !is_listed(task, run.run))
            .map(|(task, _)| *task)
            .collect();
        if missing.is_empty() {
            return;
        }
        self.decisions.push(DecisionEvent::RunsMissing {
            worker: name.clone(),
            runs: missing.len(),
            stored_end: known.stored_end(),
            first_end: ends.first().map_or(0, |ended| ended.number),
            ends: ends.len(),
        });
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
        let Some(step) = entry.spec.steps.get(task.step as usize) else {
            return;
        };
        let sharing = if step.is_gang {
            0..step.tasks
        } else {
            task.index..task.index.saturating_add(1)
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
