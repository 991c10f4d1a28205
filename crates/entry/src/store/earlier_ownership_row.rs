//! The row that names the owner of a cell, as earlier versions wrote it.

use sapphirestile_jobs::CellLoad;
use sapphirestile_jobs::LeaseBounds;
use serde::Deserialize;

use crate::store::DocumentReport;
use crate::store::OwnershipRow;

/// The ownership row of a cell as it was before it had bounds on leases. The encoding does
/// not say which fields follow, so it is a type of its own.
#[derive(Deserialize)]
pub struct EarlierOwnershipRow {
    epoch: u64,
    daemon: Box<str>,
    incarnation: u64,
    write: u64,
    is_released: bool,
    load: CellLoad,
}

impl From<EarlierOwnershipRow> for OwnershipRow {
    fn from(row: EarlierOwnershipRow) -> Self {
        Self {
            epoch: row.epoch,
            daemon: row.daemon,
            incarnation: row.incarnation,
            write: row.write,
            is_released: row.is_released,
            load: row.load,
            lease_bounds: LeaseBounds::unstated(),
            vacancies: Vec::new(),
            restarts: Vec::new(),
            late_restarts: Vec::new(),
            idle_tasks: Vec::new(),
            document: DocumentReport::default(),
        }
    }
}
