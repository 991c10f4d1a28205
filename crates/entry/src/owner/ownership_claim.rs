//! The ownership row as written by its owner.

use sapphirestile_core::CellNumber;
use sapphirestile_jobs::CommitBatch;

use crate::ports::RowGuard;
use crate::ports::RowWrite;
use crate::store::DocumentReport;
use crate::store::OwnershipRow;
use crate::store::RowCodec;
use crate::store::RowKeys;

/// The ownership row as this daemon last wrote it.
#[derive(Clone, Debug)]
pub struct OwnershipClaim {
    /// The cell that is owned.
    pub cell: CellNumber,
    /// The contents of the row.
    pub row: OwnershipRow,
    /// The revision of the row in the store.
    pub revision: u64,
}

impl OwnershipClaim {
    /// The condition that no other daemon has written the row since.
    pub fn guard(&self) -> RowGuard {
        RowGuard {
            key: RowKeys::ownership(self.cell),
            revision: self.revision,
        }
    }

    /// The row with the next write number, the bounds on leases of a batch, its load if
    /// there is a new one, and a report about the operators' document.
    pub fn next_row(
        &self,
        is_released: bool,
        batch: &CommitBatch,
        document: DocumentReport,
    ) -> OwnershipRow {
        let mut row = self.row.clone();
        row.write += 1;
        row.is_released = is_released;
        row.lease_bounds = batch.lease_bounds.clone();
        row.document = document;
        if let Some(load) = &batch.load {
            row.load.clone_from(load);
            row.vacancies.clone_from(&batch.vacancies);
            row.restarts.clone_from(&batch.restarts);
            row.late_restarts.clone_from(&batch.late_restarts);
            row.idle_tasks.clone_from(&batch.idle_tasks);
        }
        row
    }

    /// The store write of a cell's row.
    pub fn write_of(cell: CellNumber, row: &OwnershipRow) -> RowWrite {
        RowWrite {
            key: RowKeys::ownership(cell),
            value: RowCodec::encode(row),
        }
    }
}
