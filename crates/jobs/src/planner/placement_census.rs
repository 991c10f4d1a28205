//! Why a task found no worker.

use crate::planner::RoomRefusal;
use crate::planner::TaskDemand;
use crate::planner::WorkerScorer;
use crate::spec::ResourceVector;
use crate::worker::TrackedWorker;

/// How many workers a task could not be placed on, by the first reason that applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementCensus {
    /// Workers that get no task now: not listed, silent, leaving, excluded by their breaker, or
    /// in a drained zone.
    pub unusable: usize,
    /// Workers without the label, the service or the ticket that the task needs, or that have
    /// as many tasks of its step as they may.
    pub unsuitable: usize,
    /// Workers that are kept for tasks that have run before.
    pub kept: usize,
    /// Workers whose capacity is smaller than the task.
    pub too_small: usize,
    /// Workers that would have room for the task without their tasks that complete.
    pub occupied_by_short: usize,
    /// Workers whose long-running tasks leave no room for it.
    pub occupied_by_long: usize,
    /// Workers without memory for a best-effort task.
    pub little_memory: usize,
    /// Workers without the idle processor time that a best-effort task can use.
    pub little_idle_cpu: usize,
    /// Workers where a latency is too near its target for a best-effort task.
    pub high_latency: usize,
    /// Workers where a best-effort task is expected to slow a run beside it too much.
    pub interference: usize,
    /// Largest free processor time of a usable worker, in thousandths of a processor.
    pub largest_free_cpu_milli: u64,
}

impl PlacementCensus {
    /// Counts the workers by why each cannot take the task.
    #[must_use]
    pub fn of<'a>(
        demand: &TaskDemand<'_>,
        scorer: &WorkerScorer<'_>,
        workers: impl Iterator<Item = &'a TrackedWorker>,
    ) -> Self {
        let mut census = Self::default();
        for worker in workers {
            census.count(demand, scorer, worker);
        }
        census
    }

    fn count(
        &mut self,
        demand: &TaskDemand<'_>,
        scorer: &WorkerScorer<'_>,
        worker: &TrackedWorker,
    ) {
        let Some(entry) = worker.entry.as_ref().filter(|_| scorer.is_usable(worker)) else {
            self.unusable += 1;
            return;
        };
        let free = entry.capacity.minus(worker.used());
        self.largest_free_cpu_milli = self.largest_free_cpu_milli.max(free.cpu_milli);
        if !scorer.is_suitable(demand, worker) {
            self.unsuitable += 1;
        } else if scorer.is_kept_from(demand, worker) {
            self.kept += 1;
        } else if !demand.step.size.fits(&entry.capacity) {
            self.too_small += 1;
        } else if demand.step.is_best_effort {
            self.count_best_effort(demand, scorer, worker, &free);
        } else if demand.step.size.fits(&worker.room_without_short_runs()) {
            self.occupied_by_short += 1;
        } else {
            self.occupied_by_long += 1;
        }
    }

    fn count_best_effort(
        &mut self,
        demand: &TaskDemand<'_>,
        scorer: &WorkerScorer<'_>,
        worker: &TrackedWorker,
        free: &ResourceVector,
    ) {
        if !demand.reserved().fits(free) {
            self.little_memory += 1;
            return;
        }
        let capacity = free.cpu_milli + worker.used().cpu_milli;
        let count = match scorer.best_effort_score(demand, capacity, worker) {
            Ok(_) => return,
            Err(RoomRefusal::Processors) => &mut self.little_idle_cpu,
            Err(RoomRefusal::Latency) => &mut self.high_latency,
            Err(RoomRefusal::Interference) => &mut self.interference,
        };
        *count += 1;
    }
}
