//! Workers that restart under their names as another kind, with other resources.

use crate::simulation::Simulation;

use super::KINDS;
use super::RESTART_MS;
use super::WORKER_CPU_MILLI;

/// Processor time of a worker of the small kind, in thousandths of a processor: room for one
/// task.
const SMALL_CPU_MILLI: u64 = 4_000;

impl Simulation {
    /// Processor time that an incarnation of a worker has, in thousandths of a processor.
    pub(super) const fn capacity_milli(&self, incarnation: u64) -> u64 {
        if self.faults == KINDS && incarnation.is_multiple_of(2) {
            SMALL_CPU_MILLI
        } else {
            WORKER_CPU_MILLI
        }
    }

    /// Checks that a worker which has begun a task has room for all that it runs.
    pub(super) fn check_room(&self, worker: usize) {
        let (seed, now) = (self.seed, self.now);
        let started = &self.workers[worker];
        let used_milli = started.running.len() as u64 * self.task_cpu_milli();
        let capacity_milli = self.capacity_milli(started.incarnation);
        assert!(
            used_milli <= capacity_milli,
            "seed {seed} at {now}: worker {worker} runs {used_milli} of {capacity_milli}"
        );
    }

    /// Kills a daemon, or restarts some workers as the other kind.
    pub(super) fn inject_other_kinds(&mut self, kind: u32, daemon: usize) {
        if kind == 0 {
            self.crash_daemon(daemon, RESTART_MS);
        } else {
            self.restart_any_workers();
        }
    }
}
