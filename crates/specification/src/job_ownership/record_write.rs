//! A batch on its way to the store.

use crate::job_ownership::job_bounds::WORKERS;
use crate::job_ownership::run_assignment::RunAssignment;

/// A batch on its way to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordWrite {
    /// The record.
    pub assignment: RunAssignment,
    /// Whether a start waits for it.
    pub holds_start: bool,
    /// The ends that rest on it, by worker.
    pub ends: [u8; WORKERS],
    /// The owner's clock when it was sent.
    pub sent: u8,
    /// Whether the store carried it out; none before it arrives.
    pub is_stored: Option<bool>,
}
