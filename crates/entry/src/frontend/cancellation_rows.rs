//! The rows that cancel a job.

use sapphirestile_core::CellNumber;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobProgress;

use crate::ports::RowWrite;
use crate::ports::StoredRow;
use crate::store::RowCodec;
use crate::store::RowKeys;

/// The number of other cells that are told at once at most, as a commit carries only so many
/// rows. The owner of the home tells the rest.
const OTHER_CELLS_MAX: usize = 24;

/// Builds the rows that cancel a job: one in its home, and one in each other cell that has
/// tasks of it. The owner of the home writes those again; if it has failed, the other cells do
/// not wait for the next one.
#[derive(Clone, Copy, Debug)]
pub struct CancellationRows;

impl CancellationRows {
    /// The rows for a job in `home`, whose progress was last stored as `record`; `None` if
    /// nothing of it has begun.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::CellNumber;
    /// use sapphirestile_entry::CancellationRows;
    /// use sapphirestile_jobs::JobIdentity;
    ///
    /// let job = JobIdentity::try_from("5c0e7a21d94b36f8").unwrap();
    /// let rows = CancellationRows::of(CellNumber::new(3), &job, None);
    /// assert_eq!(rows.len(), 1);
    /// assert_eq!(rows[0].key, "sapphirestile/intake/3/5c0e7a21d94b36f8/cancelled");
    /// ```
    #[must_use]
    pub fn of(home: CellNumber, job: &JobIdentity, record: Option<&StoredRow>) -> Vec<RowWrite> {
        let progress = record.and_then(|row| RowCodec::decode::<JobProgress>(&row.value));
        let others = progress.map_or_else(Vec::new, |progress| progress.other_cells());
        let cells = std::iter::once(home).chain(others.into_iter().take(OTHER_CELLS_MAX));
        let rows = cells.map(|cell| RowWrite {
            key: RowKeys::cancellation(cell, job),
            value: Vec::new(),
        });
        rows.collect()
    }
}
