//! A chosen worker.

use crate::ChoiceReason;

/// The worker chosen for a task, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementChoice {
    /// The index of the worker in the slice passed to `choose_worker`.
    pub index: usize,
    /// The figures behind the choice.
    pub reason: ChoiceReason,
}
