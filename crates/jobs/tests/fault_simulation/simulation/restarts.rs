//! Check that long-running tasks run again soon after a run has ended.

use std::collections::BTreeSet;

use sapphirestile_jobs::TaskIdentity;

use crate::fake_worker::FakeWorker;
use crate::simulation::Simulation;

use super::TASK_CPU_MILLI;
use super::WORKER_CPU_MILLI;

/// Room that there must be for a task that does not run, in tasks.
const ROOM_TASKS: u64 = 2;

impl Simulation {
    /// Checks that no long-running task runs again too late, and that there is room for those
    /// that do not run though they should.
    pub(super) fn check_restarts(&mut self) {
        let running = self.running_long();
        let late = self.watch.observe(&running, self.now);
        let cancelled = &self.store.cancelled;
        let over = self.watch.forget(|task| cancelled.contains(&task.job));
        if let Some(late) = late.or(over) {
            panic!("seed {} faults {}: {late}", self.seed, self.faults);
        }
        if self.watch.is_any_missed() {
            self.assert_room();
        }
    }

    /// Checks at the end that no long-running task is missed.
    pub(super) fn check_missed(&self) {
        if let Some(late) = self.watch.missed() {
            panic!("seed {} faults {}: {late}", self.seed, self.faults);
        }
    }

    fn running_long(&self) -> BTreeSet<TaskIdentity> {
        let running = self.workers.iter().flat_map(|worker| worker.running.keys());
        let is_long = |task: &&TaskIdentity| self.store.is_long_running(&task.job);
        let lasting = running.filter(is_long).copied();
        lasting
            .filter(|task| !self.store.cancelled.contains(&task.job))
            .collect()
    }

    /// Checks that the workers which are up have room for another task, twice over.
    fn assert_room(&self) {
        let free_milli = |worker: &FakeWorker| {
            let used_milli = worker.running.len() as u64 * TASK_CPU_MILLI;
            WORKER_CPU_MILLI.saturating_sub(used_milli)
        };
        let up = self.workers.iter().filter(|worker| worker.is_up(self.now));
        let room_milli: u64 = up.map(free_milli).sum();
        assert!(
            room_milli >= ROOM_TASKS * TASK_CPU_MILLI,
            "seed {} faults {} at {}: there is no room for another task",
            self.seed,
            self.faults,
            self.now
        );
    }
}
