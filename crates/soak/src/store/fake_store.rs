//! The store of a run.

use crate::CellRows;
use crate::CommitTry;
use crate::StoreAnswer;
use sapphirestile_core::CellNumber;
use sapphirestile_core::SortedTable;
use sapphirestile_core::ZoneName;

/// The store of a run: the rows of the cells and the document.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    /// Until when nobody is answered, in milliseconds.
    pub out_until: u64,
    /// The revision of the document.
    pub document: u64,
    /// The zones that are out, with when they were taken out, in milliseconds.
    pub zones_out: SortedTable<ZoneName, u64>,
    revision: u64,
    cells: SortedTable<CellNumber, CellRows>,
}

impl FakeStore {
    /// A store with empty rows for `cells`.
    #[must_use]
    pub fn new(cells: impl Iterator<Item = CellNumber>) -> Self {
        let cells = cells.map(|cell| (cell, CellRows::default())).collect();
        Self {
            cells,
            ..Self::default()
        }
    }

    /// Whether the store answers at `now`, in milliseconds.
    #[must_use]
    pub const fn answers(&self, now: u64) -> bool {
        now >= self.out_until
    }

    /// The rows of every cell.
    pub fn cells(&self) -> impl Iterator<Item = &CellRows> {
        self.cells.values()
    }

    /// The rows of a cell.
    ///
    /// # Panics
    ///
    /// When the store has no such cell.
    #[must_use]
    pub fn rows(&self, cell: CellNumber) -> &CellRows {
        self.cells.get(&cell).expect("every cell has rows")
    }

    /// Takes a commit when its guards hold.
    ///
    /// # Panics
    ///
    /// When the store has no such cell.
    pub fn commit(&mut self, commit: &CommitTry) -> StoreAnswer {
        let rows = self.cells.get_mut(&commit.cell);
        let rows = rows.expect("every cell has rows");
        let guarded = commit
            .document
            .is_none_or(|revision| revision == self.document);
        if rows.head != commit.head || !guarded {
            return StoreAnswer::Beaten;
        }
        self.revision += 1;
        rows.write(commit, self.revision);
        StoreAnswer::Done(self.revision)
    }

    /// Changes the document: takes a zone out at `now`, or returns it.
    pub fn change_zone(&mut self, zone: &ZoneName, out: bool, now: u64) {
        self.revision += 1;
        self.document = self.revision;
        if out {
            self.zones_out.get_or_insert_with(zone.clone(), || now);
        } else {
            self.zones_out.remove(zone.as_str());
        }
    }
}
