//! Reports of jobs that wait long with nothing running.

use crate::owner::DecisionEvent;
use crate::owner::JobOwner;
use crate::owner::WaitKey;
use crate::planner::PlacementCensus;
use crate::spec::TaskIdentity;
use sapphirestile_core::MonoTime;

/// Shortest time between two reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// A job is reported once it has had nothing running for this long, in milliseconds.
const REPORT_AFTER_MS: u64 = 2_000;

impl JobOwner {
    /// Reports the job that has waited longest with nothing running, at most once in an
    /// interval.
    pub(super) fn report_longest_wait(&mut self, now: MonoTime) {
        if now.millis_since(self.longest_wait_reported) < REPORT_INTERVAL_MS {
            return;
        }
        let mut waiting = 0;
        let mut longest: Option<(u64, WaitKey, TaskIdentity)> = None;
        for key in self.waiting.keys() {
            let Some(entry) = self.jobs.get(&key.job) else {
                continue;
            };
            if entry.progress.may_be_running() {
                continue;
            }
            let Some(demand) = entry.startable(key, "").next() else {
                continue;
            };
            waiting += 1;
            let idle_ms = entry.idle.millis(now);
            if longest.is_none_or(|(longest_ms, _, _)| idle_ms > longest_ms) {
                longest = Some((idle_ms, *key, demand.task));
            }
        }
        let Some((idle_ms, key, task)) = longest else {
            return;
        };
        if idle_ms >= REPORT_AFTER_MS {
            self.longest_wait_reported = now;
            self.report_wait(&key, &task, idle_ms, waiting, now);
        }
    }

    fn report_wait(
        &mut self,
        key: &WaitKey,
        task: &TaskIdentity,
        idle_ms: u64,
        waiting: usize,
        now: MonoTime,
    ) {
        let Some(entry) = self.jobs.get(&key.job) else {
            return;
        };
        let spec = entry.spec.clone();
        let age_ms = entry.age.millis(now);
        let moves = entry.moves;
        let runs = entry.progress.task(task).map_or(0, |progress| progress.run);
        let urgency = self.urgency_of(entry, now);
        let service = self.service_of(&spec.queue, &spec.terms.service);
        let needs_ticket = self.advisor_timing(&spec.queue).is_some();
        let step = &spec.steps[task.step as usize];
        let demand = self.demand(task, step, &service, needs_ticket, now);
        let workers = self.workers.values().map(|tracked| &**tracked);
        let census = PlacementCensus::of(&demand, &self.worker_scorer(now), workers);
        let is_limited = !self.has_place_for_overdue(now);
        self.decisions.push(DecisionEvent::JobWaits {
            task: *task,
            age_ms,
            idle_ms,
            runs,
            moves,
            is_limited,
            class: urgency.class,
            waiting,
            census,
        });
    }
}
