//! Effects that wait for a batch to be stored.

use sapphirestile_core::WorkerName;

use crate::spec::TaskIdentity;
use crate::worker::EndPosition;

/// An effect that is released once a batch is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeferredEffect {
    /// Send the start request of a run.
    Start {
        /// Worker that the run is assigned to.
        worker: WorkerName,
        /// Task that the run executes.
        task: TaskIdentity,
        /// Number of the run.
        run: u32,
    },
    /// Poll a worker again, and acknowledge the ends of runs up to `end`.
    Poll {
        /// Worker to poll.
        worker: WorkerName,
        /// Position of the latest end that the batch includes.
        end: EndPosition,
    },
}
