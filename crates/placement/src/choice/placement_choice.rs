//! A chosen worker.

use crate::ChoiceReason;

/// The worker chosen for a task, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementChoice {
    /// The place of the worker in the slice that was looked at.
    pub place: usize,
    /// Why this worker.
    pub reason: ChoiceReason,
}
