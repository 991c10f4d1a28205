//! Roles of a daemon towards the cell.

use crate::claim_attempt::ClaimAttempt;
use crate::owned_cell::OwnedCell;

/// The role of a daemon towards the cell.
pub enum DaemonRole {
    Idle,
    Claiming(Box<ClaimAttempt>),
    Owning(Box<OwnedCell>),
}
