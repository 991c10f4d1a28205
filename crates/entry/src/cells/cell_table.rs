//! All cells, as last read.

use std::sync::Arc;

use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_jobs::CellLayout;
use sapphirestile_jobs::CellLoad;
use sapphirestile_jobs::CellReport;
use sapphirestile_jobs::RestartNeed;
use sapphirestile_jobs::VacancyTable;

use crate::cells::CellHead;
use crate::ports::StoredRow;
use crate::store::DocumentReport;
use crate::store::OwnershipRow;
use crate::store::RowCodec;
use crate::store::RowKeys;

/// All cells, as last read.
#[derive(Clone, Debug, Default)]
pub struct CellTable {
    /// The assignment of racks to cells; empty before it is stored.
    pub layout: Arc<CellLayout>,
    /// The revision of the layout; 0 before it is stored.
    pub layout_revision: u64,
    /// The ownership rows of the cells that have been claimed.
    pub heads: SortedTable<CellNumber, CellHead>,
    /// The revisions of the rows that cannot be read, by key. A daemon of a later version may
    /// own such a cell, or use such a layout.
    pub unreadable: SortedTable<String, u64>,
    /// How often the rows were read.
    pub reads: u64,
}

impl CellTable {
    /// The table after another read. Rows that cannot be decoded are left out, and logged
    /// once.
    #[must_use]
    pub fn with_rows(&self, rows: &[StoredRow], now: MonoTime) -> Self {
        let mut table = Self {
            reads: self.reads + 1,
            ..Self::default()
        };
        for row in rows {
            if row.key == RowKeys::layout() {
                table.set_layout(self, row);
            } else if let Some(cell) = RowKeys::owned_cell_of(&row.key) {
                table.add_head(self, cell, row, now);
            }
        }
        table
    }

    /// The numbers of all cells. Cell 0 exists before the layout does.
    pub fn numbers(&self) -> impl Iterator<Item = CellNumber> + use<> {
        (0..self.layout.cells().max(1)).map(CellNumber::new)
    }

    /// Whether the row of the cell's owner is there and cannot be read.
    #[must_use]
    pub fn has_unreadable_head(&self, cell: CellNumber) -> bool {
        self.unreadable.contains(&RowKeys::ownership(cell))
    }

    /// Whether the row of the layout is there and cannot be read.
    #[must_use]
    pub fn has_unreadable_layout(&self) -> bool {
        self.unreadable.contains(RowKeys::layout())
    }

    /// The loads of the cells that have an owner, sorted by cell.
    #[must_use]
    pub fn loads(&self, now: MonoTime) -> Vec<(CellNumber, &CellLoad)> {
        let owned = self.heads.iter().filter(|(_, head)| head.is_owned(now));
        owned.map(|(cell, head)| (*cell, &head.row.load)).collect()
    }

    /// The free workers of the cells that have an owner, sorted by cell.
    #[must_use]
    pub fn vacancies(&self, now: MonoTime) -> VacancyTable {
        let owned = self.heads.iter().filter(|(_, head)| head.is_owned(now));
        let reports: Vec<CellReport<'_>> = owned
            .map(|(cell, head)| CellReport {
                cell: *cell,
                vacancies: &head.row.vacancies,
                age_ms: now.millis_since(head.changed),
            })
            .collect();
        VacancyTable::new(&reports)
    }

    /// The long-running tasks of other cells that have to run again and find no worker, as the
    /// owners of these cells have reported them: those for which first runs wait, and those
    /// for which they do not any more.
    #[must_use]
    pub fn restarts_elsewhere(
        &self,
        own: CellNumber,
        now: MonoTime,
    ) -> (Vec<RestartNeed>, Vec<RestartNeed>) {
        let (mut restarts, mut late) = (Vec::new(), Vec::new());
        for (cell, head) in self.heads.iter() {
            if *cell != own && head.is_owned(now) {
                restarts.extend_from_slice(&head.row.restarts);
                late.extend_from_slice(&head.row.late_restarts);
            }
        }
        (restarts, late)
    }

    /// What the owners of the cells report about the operators' document, each with the number
    /// of its process.
    #[must_use]
    pub fn document_reports(&self, now: MonoTime) -> Vec<(u64, DocumentReport)> {
        let owned = self.heads.values().filter(|head| head.is_owned(now));
        owned
            .map(|head| (head.row.incarnation, head.row.document))
            .collect()
    }

    /// The epoch of the latest claim of any cell; 0 before the first.
    #[must_use]
    pub fn highest_epoch(&self) -> u64 {
        let epochs = self.heads.values().map(|head| head.row.epoch);
        epochs.max().unwrap_or(0)
    }

    fn set_layout(&mut self, previous: &Self, row: &StoredRow) {
        self.layout_revision = previous.layout_revision;
        self.layout = Arc::clone(&previous.layout);
        if row.revision == previous.layout_revision {
            return;
        }
        match RowCodec::decode(&row.value) {
            Some(layout) => {
                self.layout = Arc::new(layout);
                self.layout_revision = row.revision;
            }
            None => self.note_unreadable(previous, row),
        }
    }

    fn add_head(&mut self, previous: &Self, cell: CellNumber, row: &StoredRow, now: MonoTime) {
        let known = previous.heads.get(&cell);
        if let Some(known) = known.filter(|known| known.revision == row.revision) {
            self.heads.insert(cell, known.clone());
            return;
        }
        match OwnershipRow::decode(&row.value) {
            Some(ownership) => {
                let head = CellHead {
                    row: ownership,
                    revision: row.revision,
                    changed: now,
                };
                self.heads.insert(cell, head);
            }
            None => self.note_unreadable(previous, row),
        }
    }

    fn note_unreadable(&mut self, previous: &Self, row: &StoredRow) {
        let (key, revision) = (&row.key, row.revision);
        if previous.unreadable.get(key) != Some(&revision) {
            tracing::error!(key, revision, "cannot decode a row of the cells");
        }
        self.unreadable.insert(key.clone(), revision);
    }
}
