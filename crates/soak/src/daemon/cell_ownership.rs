//! The ownership of a cell by a daemon.

use crate::JournalCommit;
use crate::OwnedCell;
use crate::OwnershipPhase;

/// The ownership of one cell by one daemon, from the claim to the release.
#[derive(Debug)]
pub struct CellOwnership {
    /// Revision of the cell's head row, as of the daemon's latest successful commit or read.
    pub head_revision: u64,
    /// The commit whose outcome the daemon does not know yet; `None` when there is none.
    pub pending_commit: Option<JournalCommit>,
    /// Whether the daemon claims, owns or releases the cell.
    pub phase: OwnershipPhase,
}

impl CellOwnership {
    /// The owned cell; `None` while the claim or the release is being committed.
    pub fn owned(&mut self) -> Option<&mut OwnedCell> {
        match &mut self.phase {
            OwnershipPhase::Owned(owned) => Some(owned),
            OwnershipPhase::Claiming(_) | OwnershipPhase::Releasing => None,
        }
    }
}
