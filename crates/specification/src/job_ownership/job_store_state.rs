//! State of the store.

use crate::job_ownership::job_bounds::WORKERS;
use crate::job_ownership::lease_bound::LeaseBound;
use crate::job_ownership::run_assignment::RunAssignment;

/// State of the store: the head row, and the assignment of the task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobStoreState {
    /// Epoch in the head row, one more with each claim.
    pub epoch: u8,
    /// The stored assignment.
    pub assignment: RunAssignment,
    /// Bounds for the leases of the workers in the latest write of the head row, which is a
    /// claim or a batch.
    pub lease_bounds: [LeaseBound; WORKERS],
}
