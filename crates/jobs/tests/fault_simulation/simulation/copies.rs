//! Slow runs that get copies, on workers that check no room.

use std::ops::Range;

use rand::Rng;
use sapphirestile_jobs::TaskIdentity;

use crate::simulation::Simulation;

use super::COPIES;
use super::KINDS;
use super::TASK_CPU_MILLI;

/// Size of a task in this case and that with other kinds of workers, in thousandths of a core:
/// two fill a worker.
const LARGE_TASK_CPU_MILLI: u64 = 4_000;
/// Share of the runs that are slow.
const SLOW_SHARE: f64 = 0.3;
/// Duration of a slow run, in milliseconds.
const SLOW_MS: Range<u64> = 4_000..12_000;
/// Time that a run takes to stop, in milliseconds.
const STOP_MS: u64 = 800;
/// Duration of any other run, in milliseconds.
const RUN_MS: Range<u64> = 200..900;
/// Time after the acknowledgement of a completion in which another run of a task that has
/// copies may start, in milliseconds.
const START_GRACE_MS: u64 = 1_000;

impl Simulation {
    /// Size of a task, in thousandths of a core.
    pub(super) const fn task_cpu_milli(&self) -> u64 {
        if matches!(self.faults, COPIES | KINDS) {
            LARGE_TASK_CPU_MILLI
        } else {
            TASK_CPU_MILLI
        }
    }

    /// Time that a run takes to stop, in milliseconds.
    pub(super) const fn stop_ms(&self) -> u64 {
        if self.faults == COPIES { STOP_MS } else { 0 }
    }

    /// Duration of a run; `None` if the case has none of its own.
    pub(super) fn copied_run_ms(&mut self) -> Option<u64> {
        if self.faults != COPIES {
            return None;
        }
        let is_slow = self.random.random_bool(SLOW_SHARE);
        let duration_ms = if is_slow { SLOW_MS } else { RUN_MS };
        Some(self.random.random_range(duration_ms))
    }

    /// Time after the acknowledgement of a completion in which the task may start, in
    /// milliseconds.
    pub(super) const fn start_grace_ms(&self) -> u64 {
        if self.faults == COPIES {
            START_GRACE_MS
        } else {
            0
        }
    }

    /// Checks that a task runs only on the worker that has just begun it, or, if it may have
    /// copies, that the worker has room for all that it runs.
    pub(super) fn check_single_run(&self, worker: usize, task: &TaskIdentity) {
        let (seed, now) = (self.seed, self.now);
        if self.faults == COPIES {
            self.check_room(worker);
            return;
        }
        if self.faults == KINDS {
            self.check_room(worker);
        }
        let workers = self.workers.iter();
        let running = workers.filter(|worker| worker.running.contains_key(task));
        assert_eq!(
            running.count(),
            1,
            "seed {seed} at {now}: {task} runs on more than one worker"
        );
    }

    /// Ends the owner, so that the next one learns of copies from the workers.
    pub(super) fn inject_beside_copies(&mut self, kind: u32) {
        if kind == 0 {
            self.lose_owner(self.store.row.epoch);
        }
    }
}
