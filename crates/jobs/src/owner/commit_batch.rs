//! What is to be stored.

use crate::order::JobIdentity;
use crate::owner::LearntTables;
use crate::owner::QueueCount;
use crate::state::JobRecord;

/// The records that changed, to be stored before the effects that rest on them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommitBatch {
    /// The records, in the order of their jobs.
    pub records: Vec<(JobIdentity, JobRecord)>,
    /// Jobs that are forgotten.
    pub forgotten: Vec<JobIdentity>,
    /// How many jobs wait in each queue.
    pub counts: Vec<QueueCount>,
    /// What was learnt, now and then.
    pub learnt: Option<LearntTables>,
    /// Whether the owner gives its ownership up with this batch.
    pub is_last: bool,
}
