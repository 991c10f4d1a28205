//! Changes to be stored.

use crate::division::CellLoad;
use crate::division::RestartNeed;
use crate::division::WorkerVacancy;
use crate::owner::GuestRemoval;
use crate::owner::IdleTask;
use crate::owner::JobMove;
use crate::owner::JobTransfer;
use crate::owner::LearntTables;
use crate::owner::LeaseBounds;
use crate::owner::QueueCount;
use crate::owner::UnappliedEnd;
use crate::progress::JobProgress;
use crate::spec::JobIdentity;
use crate::spec::TaskIdentity;
use sapphirestile_core::CellNumber;

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
    /// Progress of the changed jobs whose home is another cell, sorted by job.
    pub guests: Vec<(JobIdentity, JobProgress)>,
    /// Ended jobs whose home is another cell, to be deleted from the store.
    pub forgotten_guests: Vec<GuestRemoval>,
    /// Ended jobs with the cells that are to end what they have of them.
    pub revoked: Vec<(JobIdentity, CellNumber)>,
    /// Tasks that other cells have given back, with the number of the transfer of each, whose
    /// rows are to be deleted.
    pub absorbed: Vec<(TaskIdentity, u32)>,
    /// Ends of runs of jobs that were left out, to be stored for an owner that can read them.
    pub unapplied_ends: Vec<UnappliedEnd>,
    /// Such ends that were applied, by task and run, whose rows are to be deleted.
    pub applied_ends: Vec<(TaskIdentity, u32)>,
    /// Tasks to be transferred to or from other cells.
    pub transfers: Vec<JobTransfer>,
    /// Load of the cell; `None` if it was reported recently.
    pub load: Option<CellLoad>,
    /// Largest free workers of the cell, which belong to the load.
    pub vacancies: Vec<WorkerVacancy>,
    /// Long-running tasks that have to run again and find no worker, and for which first runs
    /// wait, which belong to the load.
    pub restarts: Vec<RestartNeed>,
    /// Those for which first runs do not wait any more, which belong to the load.
    pub late_restarts: Vec<RestartNeed>,
    /// Tasks that have waited longest to run again, which belong to the load.
    pub idle_tasks: Vec<IdleTask>,
    /// Bounds on the leases of all workers when the batch was taken.
    pub lease_bounds: LeaseBounds,
    /// Whether the owner releases its ownership with this batch.
    pub is_last: bool,
}
