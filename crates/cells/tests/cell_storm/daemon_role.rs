//! What a daemon has to do with the cell.

use crate::claim_try::ClaimTry;
use crate::owned_cell::OwnedCell;

/// The role of a daemon.
pub enum DaemonRole {
    Idle,
    Claiming(Box<ClaimTry>),
    Owning(Box<OwnedCell>),
}
