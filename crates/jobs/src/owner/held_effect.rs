//! What waits for a batch to be stored.

use sapphirestile_core::WorkerName;

use crate::order::TaskAddress;

/// An effect that waits for a batch to be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeldEffect {
    /// Start a run.
    Start {
        /// Where.
        worker: WorkerName,
        /// What.
        task: TaskAddress,
        /// The run.
        run: u32,
    },
    /// Look at a worker again, and let it forget the ends up to `ends`.
    Look {
        /// The worker.
        worker: WorkerName,
        /// The ends that the batch holds.
        ends: u64,
    },
}
