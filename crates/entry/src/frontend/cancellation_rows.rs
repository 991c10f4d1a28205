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
    /// The rows for a job in `home`, whose progress was last stored as `record`; that is `None`
    /// if nothing of it has begun. Returns `None` if the record cannot be read.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::CellNumber;
    /// use sapphirestile_entry::CancellationRows;
    /// use sapphirestile_jobs::JobIdentity;
    ///
    /// let job = JobIdentity::try_from("5c0e7a21d94b36f8").unwrap();
    /// let rows = CancellationRows::of(CellNumber::new(3), &job, None).unwrap();
    /// assert_eq!(rows.len(), 1);
    /// assert_eq!(rows[0].key, "sapphirestile/intake/3/5c0e7a21d94b36f8/cancelled");
    /// ```
    #[must_use]
    pub fn of(
        home: CellNumber,
        job: &JobIdentity,
        record: Option<&StoredRow>,
    ) -> Option<Vec<RowWrite>> {
        let others = match record {
            Some(row) => RowCodec::decode::<JobProgress>(&row.value)?.other_cells(),
            None => Vec::new(),
        };
        Some(Self::in_cells(home, job, others))
    }

    /// The rows for a job in `home` that may have tasks in the other `cells`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::CellNumber;
    /// use sapphirestile_entry::CancellationRows;
    /// use sapphirestile_jobs::JobIdentity;
    ///
    /// let job = JobIdentity::try_from("5c0e7a21d94b36f8").unwrap();
    /// let cells = [0, 1, 2].map(CellNumber::new);
    /// let rows = CancellationRows::in_cells(CellNumber::new(1), &job, cells);
    /// assert_eq!(rows.len(), 3);
    /// ```
    #[must_use]
    pub fn in_cells(
        home: CellNumber,
        job: &JobIdentity,
        cells: impl IntoIterator<Item = CellNumber>,
    ) -> Vec<RowWrite> {
        let others = cells.into_iter().filter(|cell| *cell != home);
        let cells = std::iter::once(home).chain(others.take(OTHER_CELLS_MAX));
        let rows = cells.map(|cell| RowWrite {
            key: RowKeys::cancellation(cell, job),
            value: Vec::new(),
        });
        rows.collect()
    }
}
