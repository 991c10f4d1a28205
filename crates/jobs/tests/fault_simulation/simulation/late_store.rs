//! A store that stores or responds late, beside jobs that are forgotten and workers that restart.

use std::ops::Range;

use rand::Rng;

use crate::simulation::Simulation;

use super::FAULTS_END_MS;
use super::LATE_STORE;
use super::RESTART_MS;

/// How long a job is kept after its end, in milliseconds.
const RETENTION_MS: u64 = 2_000;
/// The same in all other cases, in milliseconds; it is longer than a simulation.
const LONG_RETENTION_MS: u64 = 1_000_000;
/// Share of the batches that arrive late at the store, and of those that are stored and whose
/// responses come late.
const LATE_SHARE: f64 = 0.1;
/// Share of the workers that restart together.
const RESTART_SHARE: f64 = 0.4;
/// How late, in milliseconds.
const LATE_MS: Range<u64> = 100..5_500;

impl Simulation {
    /// How long a job is kept after its end, in milliseconds.
    pub(super) const fn retention_ms(&self) -> u64 {
        if self.faults == LATE_STORE {
            RETENTION_MS
        } else {
            LONG_RETENTION_MS
        }
    }

    /// Time for which a batch that is late is under way; `None` if it is not late.
    pub(super) fn late_batch_ms(&mut self) -> Option<u64> {
        self.late_ms()
    }

    /// Time that a late response of the store takes; `None` if it is not late.
    pub(super) fn late_response_ms(&mut self) -> Option<u64> {
        self.late_ms()
    }

    fn late_ms(&mut self) -> Option<u64> {
        let may_be_late = self.faults == LATE_STORE && self.now < FAULTS_END_MS;
        let is_late = may_be_late && self.random.random_bool(LATE_SHARE);
        let late_ms = is_late.then(|| self.random.random_range(LATE_MS))?;
        self.watch.disturb(self.now + late_ms);
        Some(late_ms)
    }

    /// Kills a daemon, makes the store unavailable, or restarts some workers at once.
    pub(super) fn inject_beside_late_store(&mut self, kind: u32, daemon: usize, duration_ms: u64) {
        match kind {
            0 => self.crash_daemon(daemon, RESTART_MS),
            1 => self.stop_store(duration_ms),
            _ => self.restart_any_workers(),
        }
    }

    pub(super) fn restart_any_workers(&mut self) {
        for index in 0..self.workers.len() {
            if self.random.random_bool(RESTART_SHARE) {
                let name = self.workers[index].name.clone();
                self.restart_unnoticed(&name);
            }
        }
    }
}
