//! A session to open or renew.

use crate::owner::ReportMark;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// Opens or renews a session with a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionOrder {
    /// The worker.
    pub worker: WorkerName,
    /// The fencing token.
    pub epoch: CellEpoch,
    /// Which of the owner's sessions it is.
    pub ordinal: u64,
    /// Ended attempts that the worker may forget.
    pub settled: Vec<(TaskName, AttemptNumber)>,
    /// The worker's report that the owner has whole.
    pub known: Option<ReportMark>,
}
