//! Jobs that have waited too long with nothing running.
//!
//! The order by urgency puts jobs that will be late behind all that can still be on time, and
//! best-effort tasks get only what is idle. Under lasting load either could keep an accepted
//! job waiting for ever, though its caller still wants the result. So a job becomes overdue
//! after a while: one of its tasks is placed before all others, if need be on processors that
//! other best-effort tasks use. While newer jobs wait for their first run too, overdue runs are
//! limited to a share.

use std::cmp::Reverse;

use crate::owner::JobEntry;
use crate::owner::JobOwner;
use crate::owner::WaitKey;
use crate::owner::job_owner::planning::STARTS_PER_PASS_MAX;
use crate::planner::TaskDemand;
use crate::planner::UnplacedDemands;
use crate::spec::StepSpec;
use crate::spec::TaskIdentity;
use sapphirestile_core::MonoTime;

/// Age from which a job can be overdue, in milliseconds.
const AGE_MIN_MS: u64 = 5_000;

/// Time for which an overdue job has had nothing running, in milliseconds. A step that has just
/// become possible, or a task that was moved from a worker, waits for its turn by urgency first.
const IDLE_MIN_MS: u64 = 1_000;

/// While newer jobs have nothing running, there is one overdue run for this many workers.
const OVERDUE_SHARE_DIVISOR: usize = 8;

/// Time without a newer job that has nothing running after which overdue runs are not limited,
/// in milliseconds.
const NEW_GONE_MS: u64 = 2_000;

impl JobOwner {
    /// Assigns one task, or one gang, of each overdue job, those that have waited longest first.
    /// Returns the number of assigned tasks.
    pub(super) fn plan_overdue(&mut self, now: MonoTime, unix_ms: u64) -> usize {
        let mut planned = 0;
        let mut unplaced = UnplacedDemands::default();
        for key in self.overdue_jobs(now, unix_ms) {
            if planned >= STARTS_PER_PASS_MAX || !self.has_place_for_overdue(now) {
                break;
            }
            planned += self.plan_overdue_job(&key, now, &mut unplaced);
        }
        planned
    }

    /// Records whether a job waits that has nothing running and is too young to be overdue.
    /// Repeated jobs do not count: they wait at each of their times.
    pub(super) fn note_new_waits(&mut self, now: MonoTime) {
        let is_new = |key: &WaitKey| {
            let entry = self.jobs.get(&key.job);
            entry.is_some_and(|entry| {
                let is_once = entry.spec.repeat.is_none();
                let is_young = entry.age.millis(now) < AGE_MIN_MS;
                is_once && has_nothing_running(entry) && is_young
            })
        };
        if self.waiting.keys().any(is_new) {
            self.new_waited = now;
        }
    }

    fn overdue_jobs(&self, now: MonoTime, unix_ms: u64) -> Vec<WaitKey> {
        let mut overdue: Vec<(Reverse<u64>, WaitKey)> = self
            .waiting
            .keys()
            .filter_map(|key| {
                let entry = self.jobs.get(&key.job)?;
                let wait_ms = overdue_wait_ms(entry, now, unix_ms)?;
                Some((Reverse(wait_ms), *key))
            })
            .collect();
        overdue.sort_unstable();
        overdue.into_iter().map(|(_, key)| key).collect()
    }

    /// Whether another overdue run may start. Newer jobs leave a share to the overdue ones while
    /// they have nothing running themselves; otherwise these come before the second task of any.
    pub(super) fn has_place_for_overdue(&self, now: MonoTime) -> bool {
        if !self.has_new_waits(now) {
            return true;
        }
        let counts = self.workers.values().map(|tracked| tracked.overdue_runs());
        counts.sum::<usize>() < self.workers.len().div_ceil(OVERDUE_SHARE_DIVISOR)
    }

    /// Whether a job that is too young to be overdue waits with nothing running, or has until
    /// just now.
    pub(super) fn has_new_waits(&self, now: MonoTime) -> bool {
        now.millis_since(self.new_waited) < NEW_GONE_MS
    }

    fn plan_overdue_job(
        &mut self,
        key: &WaitKey,
        now: MonoTime,
        unplaced: &mut UnplacedDemands,
    ) -> usize {
        let Some(entry) = self.jobs.get(&key.job) else {
            return 0;
        };
        let spec = entry.spec.clone();
        let service = self.service_of(&spec.queue, &spec.terms.service);
        let timing = self.advisor_timing(&spec.queue);
        let tasks: Vec<TaskIdentity> = entry
            .startable(key, &service)
            .map(|demand| demand.task)
            .collect();
        let startable: Vec<(TaskIdentity, &StepSpec)> = tasks
            .iter()
            .map(|task| (*task, &spec.steps[task.step as usize]))
            .collect();
        let mut rest: &[(TaskIdentity, &StepSpec)] = &startable;
        while !rest.is_empty() {
            let mut demands = self.members(rest, &service, timing.is_some(), now);
            rest = &rest[demands.len()..];
            for demand in &mut demands {
                demand.is_overdue = true;
            }
            let planned = self.place_overdue(&demands, unplaced, now);
            if planned > 0 {
                self.refresh_waiting(key);
                return planned;
            }
            self.request_advice(&demands[0], timing, now);
        }
        0
    }

    /// Places the first task of a step, or the whole step if it is a gang. Returns the number of
    /// assigned tasks.
    fn place_overdue(
        &mut self,
        demands: &[TaskDemand<'_>],
        unplaced: &mut UnplacedDemands,
        now: MonoTime,
    ) -> usize {
        let first = &demands[0];
        if first.step.is_gang {
            return self.plan_gang(demands, now);
        }
        if unplaced.rules_out(first) {
            return 0;
        }
        let Some(worker) = self.choose_worker(first, None, now) else {
            unplaced.record(first);
            return 0;
        };
        let run = self.next_run(&first.task);
        self.assign(&worker, first, run, now);
        1
    }
}

/// Whether the job has nothing running. Workers are held for long-running tasks instead.
fn has_nothing_running(entry: &JobEntry) -> bool {
    !entry.spec.is_long_running() && !entry.progress.may_be_running()
}

/// How long the job has had nothing running, in milliseconds, if that is too long.
fn overdue_wait_ms(entry: &JobEntry, now: MonoTime, unix_ms: u64) -> Option<u64> {
    let age_ms = turn_age_ms(entry, now, unix_ms);
    let idle_ms = entry.idle.millis(now).min(age_ms);
    let is_overdue = has_nothing_running(entry) && age_ms >= AGE_MIN_MS && idle_ms >= IDLE_MIN_MS;
    is_overdue.then_some(idle_ms)
}

/// Time since the job was accepted, in milliseconds; for a repeated one since the oldest of its
/// active occurrences was due.
fn turn_age_ms(entry: &JobEntry, now: MonoTime, unix_ms: u64) -> u64 {
    let age_ms = entry.age.millis(now);
    let oldest = entry.progress.occurrences.first();
    let Some((rule, occurrence)) = entry.spec.repeat.zip(oldest) else {
        return age_ms;
    };
    let due_unix_ms = rule.due_unix_ms(occurrence.number);
    age_ms.min(unix_ms.saturating_sub(due_unix_ms))
}
