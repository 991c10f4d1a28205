//! The record of the task.

use crate::job_ownership::assigned_phase::AssignedPhase;

/// The record of the task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunAssignment {
    /// The number of its latest run; 0 before the first.
    pub run: u8,
    /// Where that run may be.
    pub phase: AssignedPhase,
}
