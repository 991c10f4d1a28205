//! Bounds on the leases that the workers of a cell may hold.

use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;
use serde::Deserialize;
use serde::Serialize;

/// The bound of an owner of an earlier version, in milliseconds: leases ended within 12 s of
/// its latest stored batch, and a worker's clock may be 2.5% slow.
const UNSTATED_BOUND_MS: u64 = 12_300;

/// For each worker of a cell, the time until every lease that it may hold has ended. An
/// owner stores it with each batch, as of when it took the batch, so that the next one need
/// not wait longer for a worker that it cannot reach.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::WorkerName;
/// use sapphirestile_jobs::LeaseBounds;
///
/// let silent = WorkerName::try_from("i-1").unwrap();
/// let other = WorkerName::try_from("i-2").unwrap();
/// let mut bounds = LeaseBounds::of_all(6_000);
/// bounds.workers.insert(silent.clone(), 1_500);
/// assert_eq!((bounds.left_ms(&silent), bounds.left_ms(&other)), (1_500, 6_000));
///
/// let later = bounds.after(2_000);
/// assert_eq!((later.left_ms(&silent), later.left_ms(&other)), (0, 4_000));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBounds {
    /// The bound of all workers that are not in `workers`, in milliseconds; 0 only if no owner
    /// has ever granted a lease.
    pub others_ms: u64,
    /// The bounds of single workers, in milliseconds. The owner grants no lease to a worker
    /// with a bound below `others_ms`.
    pub workers: SortedTable<WorkerName, u64>,
}

impl LeaseBounds {
    /// Creates the same bound for all workers, in milliseconds.
    #[must_use]
    pub const fn of_all(bound_ms: u64) -> Self {
        Self {
            others_ms: bound_ms,
            workers: SortedTable::new(),
        }
    }

    /// The bounds of an owner of an earlier version, which stored none.
    #[must_use]
    pub const fn unstated() -> Self {
        Self::of_all(UNSTATED_BOUND_MS)
    }

    /// Time until every lease that the worker may hold has ended, in milliseconds.
    #[must_use]
    pub fn left_ms(&self, worker: &WorkerName) -> u64 {
        self.workers.get(worker).copied().unwrap_or(self.others_ms)
    }

    /// Whether no owner has ever granted a lease in the cell.
    #[must_use]
    pub fn are_none(&self) -> bool {
        self.others_ms == 0 && self.workers.is_empty()
    }

    /// The bounds `elapsed_ms` milliseconds later, if no lease is granted meanwhile.
    #[must_use]
    pub fn after(&self, elapsed_ms: u64) -> Self {
        let left = |bound_ms: u64| bound_ms.saturating_sub(elapsed_ms);
        let workers = self.workers.iter();
        Self {
            others_ms: left(self.others_ms).max(self.others_ms.min(1)),
            workers: workers
                .map(|(worker, bound_ms)| (worker.clone(), left(*bound_ms)))
                .collect(),
        }
    }
}
