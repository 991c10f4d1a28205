//! The actors of the cells that this daemon owns.

use crate::cells::CellHandle;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::SortedTable;

/// The actors of this daemon by cell. Immutable: a change creates a new directory.
#[derive(Clone, Debug, Default)]
pub struct CellDirectory {
    cells: SortedTable<CellNumber, CellHandle>,
}

impl CellDirectory {
    /// The actor of a cell; `None` when this daemon does not own the cell.
    #[must_use]
    pub fn get(&self, cell: CellNumber) -> Option<&CellHandle> {
        self.cells.get(&cell)
    }

    /// A copy of the directory with an actor added.
    #[must_use]
    pub fn with(&self, cell: CellNumber, handle: CellHandle) -> Self {
        let mut cells = self.cells.clone();
        cells.insert(cell, handle);
        Self { cells }
    }

    /// A copy of the directory without the actor of `cell`.
    #[must_use]
    pub fn without(&self, cell: CellNumber) -> Self {
        let mut cells = self.cells.clone();
        cells.remove(&cell);
        Self { cells }
    }

    /// The cells that this daemon owns, with the epochs of its claims, by cell number.
    #[must_use]
    pub fn owned(&self) -> Vec<(CellNumber, CellEpoch)> {
        self.cells
            .iter()
            .map(|(cell, handle)| (*cell, handle.epoch))
            .collect()
    }

    /// The actors by cell number.
    #[must_use]
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (&CellNumber, &CellHandle)> {
        self.cells.iter()
    }

    /// Whether this daemon owns no cell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }
}
