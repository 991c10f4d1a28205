//! Transfers of tasks of one job.

use crate::owner::JobPlace;
use crate::owner::TaskTransfer;
use crate::progress::JobProgress;
use crate::spec::JobIdentity;

/// Transfers of tasks of one job, which are stored at once with the progress of the job that
/// says so: at no time do two cells have a task, and at no time has none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobTransfer {
    /// Job that the tasks belong to.
    pub job: JobIdentity,
    /// Where the job has its home.
    pub place: JobPlace,
    /// Progress of the job in this cell after the transfers; `None` if this cell has no task of
    /// it any more, and is not its home.
    pub progress: Option<JobProgress>,
    /// Transfers of its tasks.
    pub transfers: Vec<TaskTransfer>,
}
