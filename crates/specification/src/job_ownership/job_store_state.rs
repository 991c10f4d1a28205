//! State of the store.

use crate::job_ownership::run_assignment::RunAssignment;

/// State of the store: the head row, and the assignment of the task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobStoreState {
    /// Epoch in the head row, one more with each claim.
    pub epoch: u8,
    /// The stored assignment.
    pub assignment: RunAssignment,
}
