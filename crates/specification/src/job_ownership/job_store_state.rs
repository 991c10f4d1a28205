//! The store.

use crate::job_ownership::run_assignment::RunAssignment;

/// The head row and the record of the task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobStoreState {
    /// The epoch of the head row.
    pub epoch: u8,
    /// The record.
    pub assignment: RunAssignment,
}
