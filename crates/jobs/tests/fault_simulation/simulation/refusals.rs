//! Workers that refuse starts.

use rand::Rng;

use crate::simulation::Simulation;

/// Share of the workers that refuse starts at a time.
const REFUSING_SHARE: f64 = 0.8;

impl Simulation {
    /// Has most workers refuse starts for a while, or kills the owner.
    pub(super) fn inject_refusals(&mut self, kind: u32, duration_ms: u64) {
        if kind == 0 {
            self.lose_owner(self.store.row.epoch);
            return;
        }
        let until = self.now + duration_ms;
        for index in 0..self.workers.len() {
            if self.random.random_bool(REFUSING_SHARE) {
                self.workers[index].refuses_until = until;
            }
        }
        self.watch.disturb(until);
    }
}
