//! Delivery of batches to the store.

use sapphirestile_jobs::CommitBatch;
use sapphirestile_jobs::JobStanding;

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
        if is_stored {
            self.check_begun(&batch);
        }
        let response = SimulationEvent::CommitReturns {
            daemon,
            incarnation,
            is_stored,
        };
        let response_ms = self.late_response_ms().unwrap_or(RESPONSE_MS);
        self.schedule(response_ms, response);
    }

    /// Checks that no job is stored as begun before a worker has accepted a run of it.
    fn check_begun(&self, batch: &CommitBatch) {
        for (identity, progress) in &batch.progress {
            let has_begun = self.started.keys().any(|task| task.job == *identity);
            assert!(
                progress.standing != JobStanding::Running || has_begun,
                "seed {} faults {}: job {identity} is stored as begun, and no run of it has begun",
                self.seed,
                self.faults
            );
        }
    }
}
