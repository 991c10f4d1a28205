//! The keepers of this daemon.

use crate::cells::KeeperHandle;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::SortedTable;

/// The keepers by cell.
#[derive(Clone, Debug, Default)]
pub struct KeeperDirectory {
    keepers: SortedTable<CellNumber, KeeperHandle>,
}

impl KeeperDirectory {
    /// The keeper of a cell.
    #[must_use]
    pub fn keeper(&self, cell: CellNumber) -> Option<&KeeperHandle> {
        self.keepers.get(&cell)
    }

    /// The directory with a keeper added.
    #[must_use]
    pub fn with(&self, cell: CellNumber, handle: KeeperHandle) -> Self {
        let mut keepers = self.keepers.clone();
        keepers.insert(cell, handle);
        Self { keepers }
    }

    /// The directory without the keeper of `cell`.
    #[must_use]
    pub fn without(&self, cell: CellNumber) -> Self {
        let mut keepers = self.keepers.clone();
        keepers.remove(&cell);
        Self { keepers }
    }

    /// The cells kept here, with the epochs of their claims.
    #[must_use]
    pub fn owned(&self) -> Vec<(CellNumber, CellEpoch)> {
        self.keepers
            .iter()
            .map(|(cell, handle)| (*cell, handle.epoch))
            .collect()
    }

    /// The keepers in the order of their cells.
    #[must_use]
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (&CellNumber, &KeeperHandle)> {
        self.keepers.iter()
    }

    /// Whether no cell is kept here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keepers.is_empty()
    }
}
