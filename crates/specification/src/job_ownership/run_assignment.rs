//! Assignment of the task.

use crate::job_ownership::assignment_state::AssignmentState;

/// Assignment of the task to a worker, as the store keeps it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunAssignment {
    /// Number of the latest run; 0 before the first.
    pub run: u8,
    /// Whether that run may be running, and where.
    pub state: AssignmentState,
}
