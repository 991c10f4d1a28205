//! Faults.

use std::ops::Range;

use rand::Rng;

use super::CLAIM_MS;
use super::CellSimulation;
use super::FAULT_INTERVAL_MS;
use super::FAULTS_END_MS;
use super::WORKERS_PER_CELL;
use super::job_identity;
use crate::simulation_event::SimulationEvent;

/// Time from which a worker leaves until it is gone, in milliseconds.
const LEAVE_MS: u64 = 4_000;

/// Least number of workers, which have room for all tasks.
const PRESENT_MIN: usize = 6;

/// When owners die in a row, in milliseconds.
const OWNER_DEATHS: [Range<u64>; 2] = [8_000..16_000, 24_000..32_000];

/// How long a fleet that is nearly full is disturbed by the loss of an owner, in milliseconds.
const OWNER_LOSS_MS: u64 = 4_000;

/// When the workers of cell 0 begin to leave, in milliseconds.
const FIRST_LEAVE_MS: u64 = 6_000;

impl CellSimulation {
    pub(super) fn inject_fault(&mut self) {
        if self.mixture.has_returning_workers {
            return;
        }
        self.leave_next();
        if self.faults != 0 && self.now < FAULTS_END_MS && self.random.random_bool(0.6) {
            self.change_workers();
        }
        if self.injects(1) && self.random.random_bool(0.4) {
            self.end_owner();
        }
        let are_dying = OWNER_DEATHS.iter().any(|span| span.contains(&self.now));
        if self.mixture.has_dying_owners && are_dying && self.random.random_bool(0.7) {
            self.disturbed = self.now + OWNER_LOSS_MS;
            self.end_owner();
        }
        if self.injects(3) && self.random.random_bool(0.15) {
            self.cancel_job();
        }
        if self.now < FAULTS_END_MS {
            self.schedule(FAULT_INTERVAL_MS, SimulationEvent::Fault);
        }
    }

    /// Three of the four workers of cell 0 leave, and one of cell 1. Later a worker of cell 2
    /// fails now and then, and its tasks wait until its leases have ended.
    fn leave_next(&mut self) {
        let order: &[usize] = if self.now < FIRST_LEAVE_MS + LEAVE_MS {
            &[0, 1, WORKERS_PER_CELL, 2]
        } else {
            &[]
        };
        let next = order
            .iter()
            .copied()
            .find(|worker| !self.leaving.contains(worker));
        if self.now < FIRST_LEAVE_MS {
            return;
        }
        if let Some(worker) = next {
            self.leave(worker);
        } else if self.random.random_bool(0.1) {
            let worker = 2 * WORKERS_PER_CELL + self.random.random_range(0..WORKERS_PER_CELL);
            self.workers[worker].crash(self.now, 700);
            self.disturbed = self.disturbed.max(self.now);
        }
    }

    /// A worker that has left comes back, or another one leaves while enough are left for all
    /// tasks. A cell may have no worker at all for a while.
    fn change_workers(&mut self) {
        let worker = self.random.random_range(0..self.workers.len());
        let present = self.workers.len() - self.leaving.len();
        if self.leaving.contains(&worker) {
            if self.workers[worker].unlisted.contains(&self.now) {
                self.leaving.remove(&worker);
                self.workers[worker].crash(self.now, 0);
            }
        } else if present > PRESENT_MIN {
            self.leave(worker);
        }
    }

    pub(super) fn leave(&mut self, worker: usize) {
        self.leaving.insert(worker);
        let gone = self.now + LEAVE_MS;
        self.workers[worker].unlisted = gone..u64::MAX;
    }

    /// Ends an owner, with whatever it is storing. A commit that is under way may be stored.
    fn end_owner(&mut self) {
        let cell = self.random.random_range(0..self.mixture.cells);
        if self.cells[cell].owner.is_none() {
            return;
        }
        let under_way = self.cells[cell].commits.pop_front();
        if let Some(commit) = under_way
            && self.random.random_bool(0.5)
        {
            let version = self.cells[cell].version;
            self.store.commit(cell, version, &commit);
        }
        let state = &mut self.cells[cell];
        state.owner = None;
        state.generation += 1;
        state.commits.clear();
        state.batch = None;
        state.refused.clear();
        state.outdated = None;
        state.claim_at = self.now + CLAIM_MS;
    }

    fn cancel_job(&mut self) {
        let job = job_identity(self.random.random_range(0..self.mixture.jobs));
        for rows in &mut self.store.cells {
            if rows.specs.contains_key(&job) {
                rows.cancelled.insert(job);
            }
        }
    }
}
