//! Changes to be stored.

use crate::owner::LearntTables;
use crate::owner::QueueCount;
use crate::progress::JobProgress;
use crate::spec::JobIdentity;

/// Changes to be stored before the effects that depend on them are released.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommitBatch {
    /// Progress of the changed jobs, sorted by job.
    pub progress: Vec<(JobIdentity, JobProgress)>,
    /// Jobs to be deleted from the store, whose retention has ended.
    pub forgotten: Vec<JobIdentity>,
    /// Number of jobs in each queue that have not started.
    pub counts: Vec<QueueCount>,
    /// Learnt estimates; `None` in most batches.
    pub learnt: Option<LearntTables>,
    /// Whether the owner releases its ownership with this batch.
    pub is_last: bool,
}
