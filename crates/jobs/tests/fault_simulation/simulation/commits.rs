//! Delivery of batches to the store.

use sapphirestile_jobs::CommitBatch;

use crate::simulation::Simulation;
use crate::simulation_event::SimulationEvent;

/// Time from a call to a store that is unavailable to the next try, in milliseconds.
const RETRY_MS: u64 = 200;
/// Time that a response of the store takes, in milliseconds.
const RESPONSE_MS: u64 = 4;

impl Simulation {
    /// Stores a batch, or tries again later while the daemon cannot reach the store.
    pub(super) fn commit(
        &mut self,
        daemon: usize,
        incarnation: u64,
        epoch: u64,
        batch: Box<CommitBatch>,
    ) {
        if self.is_store_unavailable(daemon) {
            let retry = SimulationEvent::CommitArrives {
                daemon,
                incarnation,
                epoch,
                batch,
            };
            self.schedule(RETRY_MS, retry);
            return;
        }
        let is_stored = self.store.commit(epoch, &batch, self.now);
        let response = SimulationEvent::CommitReturns {
            daemon,
            incarnation,
            is_stored,
        };
        self.schedule(RESPONSE_MS, response);
    }
}
