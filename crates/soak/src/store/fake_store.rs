//! The simulated store.

use crate::CellRows;
use crate::CommitResponse;
use crate::JournalCommit;
use sapphirestile_core::CellNumber;
use sapphirestile_core::SortedTable;
use sapphirestile_core::ZoneName;

/// An in-memory store with the rows of the cells and the document. Writes take effect at once;
/// [`SoakSimulation`](crate::SoakSimulation) adds the delays and losses.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    /// End of the current outage, in milliseconds of virtual time.
    pub unavailable_until_ms: u64,
    /// Revision of the latest document; 0 before the first change.
    pub document_revision: u64,
    /// Zones that the document takes out of service, with the time of that change in
    /// milliseconds of virtual time.
    pub zones_out: SortedTable<ZoneName, u64>,
    last_revision: u64,
    cells: SortedTable<CellNumber, CellRows>,
}

impl FakeStore {
    /// Creates a store with empty rows for each of `cells`.
    #[must_use]
    pub fn new(cells: impl Iterator<Item = CellNumber>) -> Self {
        let cells = cells.map(|cell| (cell, CellRows::default())).collect();
        Self {
            cells,
            ..Self::default()
        }
    }

    /// Whether the store is reachable at `now_ms`: false during an outage.
    #[must_use]
    pub const fn is_available(&self, now_ms: u64) -> bool {
        now_ms >= self.unavailable_until_ms
    }

    /// The rows of all cells, in the order of the cell numbers.
    pub fn cells(&self) -> impl Iterator<Item = &CellRows> {
        self.cells.values()
    }

    /// The rows of one cell.
    ///
    /// # Panics
    ///
    /// When the cell was not among those passed to [`FakeStore::new`].
    #[must_use]
    pub fn rows(&self, cell: CellNumber) -> &CellRows {
        self.cells
            .get(&cell)
            .expect("the store was created with rows for this cell")
    }

    /// Writes a commit if the head row and the document have the revisions that it requires.
    ///
    /// # Panics
    ///
    /// When the cell was not among those passed to [`FakeStore::new`].
    pub fn commit(&mut self, commit: &JournalCommit) -> CommitResponse {
        let rows = self.cells.get_mut(&commit.cell);
        let rows = rows.expect("the store was created with rows for this cell");
        let document_matches = commit
            .document_revision
            .is_none_or(|revision| revision == self.document_revision);
        if rows.head_revision != commit.expected_head || !document_matches {
            return CommitResponse::Conflict;
        }
        self.last_revision += 1;
        rows.write_commit(commit, self.last_revision);
        CommitResponse::Written(self.last_revision)
    }

    /// Writes a new document that takes a zone out of service (`out`) or returns it. A zone
    /// that is out already keeps the time of the first change.
    pub fn set_zone_out(&mut self, zone: &ZoneName, out: bool, now_ms: u64) {
        self.last_revision += 1;
        self.document_revision = self.last_revision;
        if out {
            self.zones_out.get_or_insert_with(zone.clone(), || now_ms);
        } else {
            self.zones_out.remove(zone.as_str());
        }
    }
}
