//! The rows of a cancellation that precedes its job.

use sapphirestile_core::CellNumber;
use sapphirestile_jobs::JobIdentity;

use crate::ports::RowGuard;
use crate::ports::RowWrite;
use crate::ports::StoreCommit;
use crate::store::HomeRow;
use crate::store::RowKeys;

/// The value by which the cancellation of a job that is not stored differs from that of one
/// that is, which is empty.
const EARLY: u8 = 1;

/// Builds the rows of a cancellation that precedes its job. The home row keeps every later
/// submission of the job from being stored, in any cell. The row of the cancellation tells the
/// owner of its cell to remove both at the end of the retention.
#[derive(Clone, Copy, Debug)]
pub struct EarlyCancellation;

impl EarlyCancellation {
    /// The commit that cancels a job for which there is no home row.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::CellNumber;
    /// use sapphirestile_entry::EarlyCancellation;
    /// use sapphirestile_entry::RowKeys;
    /// use sapphirestile_jobs::JobIdentity;
    ///
    /// let job = JobIdentity::try_from("5c0e7a21d94b36f8").unwrap();
    /// let commit = EarlyCancellation::commit(CellNumber::new(3), &job);
    /// assert_eq!(commit.writes[0].key, RowKeys::home(&job));
    /// assert!(commit.guards.iter().all(|guard| guard.revision == 0));
    /// assert!(EarlyCancellation::is_early(&commit.writes[1].value));
    /// ```
    #[must_use]
    pub fn commit(cell: CellNumber, job: &JobIdentity) -> StoreCommit {
        let (home, cancellation) = (RowKeys::home(job), RowKeys::cancellation(cell, job));
        let guards = [&home, &cancellation].map(|key| RowGuard {
            key: key.clone(),
            revision: 0,
        });
        StoreCommit {
            guards: guards.to_vec(),
            writes: vec![
                RowWrite {
                    key: home,
                    value: HomeRow::cancelled_early(cell).encode(),
                },
                RowWrite {
                    key: cancellation,
                    value: vec![EARLY],
                },
            ],
            removals: Vec::new(),
        }
    }

    /// Whether the value of a cancellation says that it preceded its job.
    #[must_use]
    pub fn is_early(value: &[u8]) -> bool {
        value == [EARLY]
    }
}
