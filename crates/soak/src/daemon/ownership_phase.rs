//! Phases of the ownership of a cell.

use crate::OwnedCell;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::ClaimingPhase;

/// Phase of the ownership of a cell by a daemon.
#[derive(Debug)]
pub enum OwnershipPhase {
    /// The claim is being committed.
    Claiming(Box<CellOwner<ClaimingPhase>>),
    /// The claim is in the journal.
    Owned(Box<OwnedCell>),
    /// The release is being committed.
    Releasing,
}
