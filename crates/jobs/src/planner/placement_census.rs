//! Why a task found no worker.

use crate::planner::TaskDemand;
use crate::planner::WorkerScorer;
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
        } else if demand.step.size.fits(&worker.room_without_short_runs()) {
            self.occupied_by_short += 1;
        } else {
            self.occupied_by_long += 1;
        }
    }
}
