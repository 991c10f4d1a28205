//! The row that names the owner of a cell.

use sapphirestile_jobs::CellLoad;
use sapphirestile_jobs::IdleTask;
use sapphirestile_jobs::LeaseBounds;
use sapphirestile_jobs::RestartNeed;
use sapphirestile_jobs::WorkerVacancy;
use serde::Deserialize;
use serde::Serialize;

use crate::store::DocumentReport;
use crate::store::RowCodec;
use crate::store::earlier_ownership_row::EarlierOwnershipRow;

/// The row that names the owner of a cell. The owner writes it in every commit,
/// guarded by its previous revision, so that a commit fails once another daemon has
/// claimed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipRow {
    /// The number of the claim, which fences previous owners. It is higher than that of any
    /// earlier claim of any cell that the claiming daemon knew.
    pub epoch: u64,
    /// The name of the owning daemon; informational.
    pub daemon: Box<str>,
    /// The random number that identifies the owning process.
    pub incarnation: u64,
    /// The number of the write, by which a writer recognizes its own write after a lost
    /// answer.
    pub write: u64,
    /// Whether the owner has released the ownership.
    pub is_released: bool,
    /// The load of the cell, as the owner last reported it.
    pub load: CellLoad,
    /// The bounds on the leases of the cell's workers when the owner took the batch.
    pub lease_bounds: LeaseBounds,
    /// The largest free workers of the cell, as the owner last reported them.
    pub vacancies: Vec<WorkerVacancy>,
    /// The long-running tasks of the cell that have to run again and find no worker, as the
    /// owner last reported them.
    pub restarts: Vec<RestartNeed>,
    /// Those that have waited for so long that first runs do not wait for them any more.
    pub late_restarts: Vec<RestartNeed>,
    /// The tasks of the cell that have waited longest to run again, for the next owner.
    pub idle_tasks: Vec<IdleTask>,
    /// What the owning daemon knows about the operators' document.
    pub document: DocumentReport,
}

impl OwnershipRow {
    /// Decodes a row of this or of an earlier version; `None` when it is malformed. Each
    /// version has added a field at the end, which earlier ones do not read.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        let (earlier, rest) = RowCodec::decode_first::<EarlierOwnershipRow>(value)?;
        let mut row = Self::from(earlier);
        if rest.is_empty() {
            return Some(row);
        }
        let (lease_bounds, rest) = RowCodec::decode_first(rest)?;
        row.lease_bounds = lease_bounds;
        if rest.is_empty() {
            return Some(row);
        }
        let (vacancies, rest) = RowCodec::decode_first(rest)?;
        row.vacancies = vacancies;
        if rest.is_empty() {
            return Some(row);
        }
        let (restarts, rest) = RowCodec::decode_first(rest)?;
        row.restarts = restarts;
        if rest.is_empty() {
            return Some(row);
        }
        let (late_restarts, rest) = RowCodec::decode_first(rest)?;
        row.late_restarts = late_restarts;
        if rest.is_empty() {
            return Some(row);
        }
        let (idle_tasks, rest) = RowCodec::decode_first(rest)?;
        row.idle_tasks = idle_tasks;
        if !rest.is_empty() {
            row.document = RowCodec::decode(rest)?;
        }
        Some(row)
    }
}
