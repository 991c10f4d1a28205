//! Faults that may still come.

use crate::cell_ownership::ownership_bounds::OwnershipBounds;

/// What is left of the bounded events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FaultBudget {
    /// Claims.
    pub claims: u8,
    /// Kills of daemons.
    pub kills: u8,
    /// Lapses and stops.
    pub stops: u8,
    /// Lost workers.
    pub losses: u8,
    /// Restarts of workers.
    pub restarts: u8,
    /// Snapshots.
    pub snapshots: u8,
    /// Lost answers.
    pub lost_answers: u8,
}

impl FaultBudget {
    /// All that `bounds` allow.
    pub(crate) const fn new(bounds: &OwnershipBounds) -> Self {
        Self {
            claims: bounds.claims,
            kills: bounds.kills,
            stops: bounds.stops,
            losses: bounds.losses,
            restarts: bounds.restarts,
            snapshots: bounds.snapshots,
            lost_answers: bounds.lost_answers,
        }
    }
}
