//! Remaining numbers of bounded actions.

use crate::cell_ownership::ownership_bounds::OwnershipBounds;

/// How often each of the bounded actions can still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ActionBudget {
    /// Claims of the cell.
    pub claims: u8,
    /// Kills of daemons.
    pub kills: u8,
    /// Leases that expire and stop messages that take effect.
    pub stops: u8,
    /// Workers whose VM is lost.
    pub worker_losses: u8,
    /// Workers that restart.
    pub worker_restarts: u8,
    /// Snapshots of the journal.
    pub snapshots: u8,
    /// Commits whose answer is lost.
    pub lost_answers: u8,
}

impl ActionBudget {
    /// The full budget that `bounds` allow.
    pub(crate) const fn new(bounds: &OwnershipBounds) -> Self {
        Self {
            claims: bounds.claims,
            kills: bounds.kills,
            stops: bounds.stops,
            worker_losses: bounds.worker_losses,
            worker_restarts: bounds.worker_restarts,
            snapshots: bounds.snapshots,
            lost_answers: bounds.lost_answers,
        }
    }
}
