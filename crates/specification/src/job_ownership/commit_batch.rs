//! A batch in flight.

use crate::job_ownership::job_bounds::WORKERS;
use crate::job_ownership::lease_bound::LeaseBound;
use crate::job_ownership::run_assignment::RunAssignment;

/// A batch of decisions in flight between an owner and the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommitBatch {
    /// The assignment to store.
    pub assignment: RunAssignment,
    /// Whether a start order is deferred until the batch is stored.
    pub defers_start: bool,
    /// Number of the latest end whose consequences are in the batch, by worker.
    pub received_ends: [u8; WORKERS],
    /// Bounds for the leases of the workers. The owner grants none to the listed ones.
    pub lease_bounds: [LeaseBound; WORKERS],
    /// Time when it was sent, on the owner's clock.
    pub sent_at: u8,
    /// Whether the store applied it; `None` before the store has received it.
    pub is_stored: Option<bool>,
}
