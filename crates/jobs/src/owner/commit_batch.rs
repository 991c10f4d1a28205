//! Changes to be stored.

use crate::division::CellLoad;
use crate::owner::JobMove;
use crate::owner::LearntTables;
use crate::owner::LeaseBounds;
use crate::owner::QueueCount;
use crate::progress::JobProgress;
use crate::spec::JobIdentity;

/// Changes to be stored before the effects that depend on them are released.
#[derive(Clone, Debug, PartialEq)]
pub struct CommitBatch {
    /// Progress of the changed jobs, sorted by job.
    pub progress: Vec<(JobIdentity, JobProgress)>,
    /// Jobs to be deleted from the store, whose retention has ended.
    pub forgotten: Vec<JobIdentity>,
    /// Number of jobs in each queue that have not started.
    pub counts: Vec<QueueCount>,
    /// Learnt estimates; `None` in most batches.
    pub learnt: Option<LearntTables>,
    /// Jobs to be moved to other cells, none of which has had a run.
    pub moves: Vec<JobMove>,
    /// Load of the cell; `None` if it was reported recently.
    pub load: Option<CellLoad>,
    /// Bounds on the leases of all workers when the batch was taken.
    pub lease_bounds: LeaseBounds,
    /// Whether the owner releases its ownership with this batch.
    pub is_last: bool,
}
