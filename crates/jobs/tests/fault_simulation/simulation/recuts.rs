//! Workers that restart under their names and are cut off soon after, while their tasks last.

use std::ops::Range;

use rand::Rng;
use sapphirestile_core::WorkerName;

use crate::fake_worker::LEASE_MAX_MS;
use crate::planned_loss::PlannedLoss;
use crate::simulation::Simulation;
use crate::simulation_event::SimulationEvent;

use super::FAULTS_END_MS;
use super::RECUTS;

/// Longest lease that the workers of this case accept, in milliseconds. It is much longer than
/// what owners grant, so a lease on the clock of an earlier incarnation shows.
const LONG_LEASE_MAX_MS: u64 = 10_000;
/// Share of the workers that restart together.
const RESTART_SHARE: f64 = 0.4;
/// Time for which a worker is down when it restarts, in milliseconds.
const DOWN_MS: u64 = 600;
/// Time from the start of an incarnation until the list of workers shows it, in milliseconds.
const LISTED_MS: Range<u64> = 0..4_000;
/// Time from the restart of a worker until it is cut off, in milliseconds.
const CUT_AFTER_MS: Range<u64> = 700..3_000;
/// Time for which a worker is cut off, in milliseconds.
const CUT_MS: u64 = 9_000;
/// Time from the restart of workers until the owner dies, in milliseconds.
const OWNER_DEATH_MS: Range<u64> = 700..2_500;
/// Share of the restarts after which the owner dies.
const OWNER_DEATHS_SHARE: f64 = 0.5;
/// Share of the starts that arrive late.
const LATE_STARTS_SHARE: f64 = 0.1;
/// Delay of a late start, in milliseconds.
const LATE_START_MS: Range<u64> = 300..12_000;
/// Duration of a run, in milliseconds.
const RUN_MS: Range<u64> = 2_000..9_000;

impl Simulation {
    /// Longest lease that a worker accepts, in milliseconds.
    pub(super) const fn lease_max_ms(&self) -> u64 {
        if self.faults == RECUTS {
            LONG_LEASE_MAX_MS
        } else {
            LEASE_MAX_MS
        }
    }

    /// Duration of a run that ends by itself; `None` if the case has none of its own.
    pub(super) fn recut_run_ms(&mut self) -> Option<u64> {
        (self.faults == RECUTS).then(|| self.random.random_range(RUN_MS))
    }

    /// Delay of a start that arrives late; `None` if it does not.
    pub(super) fn late_start_ms(&mut self) -> Option<u64> {
        let is_late = self.faults == RECUTS
            && self.now < FAULTS_END_MS
            && self.random.random_bool(LATE_STARTS_SHARE);
        is_late.then(|| self.random.random_range(LATE_START_MS))
    }

    /// Restarts some workers at once. Each is cut off soon after, and the owner may die.
    pub(super) fn begin_recut(&mut self) {
        let cut_after_ms = self.random.random_range(CUT_AFTER_MS);
        for index in 0..self.workers.len() {
            if !self.random.random_bool(RESTART_SHARE) {
                continue;
            }
            let listed_ms = self.random.random_range(LISTED_MS);
            let worker = &mut self.workers[index];
            worker.restart(self.now, DOWN_MS, listed_ms);
            let name = worker.name.clone();
            self.schedule(
                DOWN_MS + cut_after_ms,
                SimulationEvent::Loss(PlannedLoss::Cut { name }),
            );
        }
        self.watch
            .disturb(self.now + DOWN_MS + cut_after_ms + CUT_MS);
        if self.random.random_bool(OWNER_DEATHS_SHARE) {
            let after_ms = self.random.random_range(OWNER_DEATH_MS);
            let epoch = self.store.row.epoch;
            let death = PlannedLoss::Owner { epoch };
            self.schedule(after_ms, SimulationEvent::Loss(death));
        }
    }

    /// Cuts a worker off from all daemons, which runs on.
    pub(super) fn cut_worker(&mut self, name: &WorkerName) {
        let until = self.now + CUT_MS;
        let mut workers = self.workers.iter_mut();
        if let Some(worker) = workers.find(|worker| worker.name == *name) {
            worker.partitioned_until = until;
        }
        self.watch.disturb(until);
    }
}
