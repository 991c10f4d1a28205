//! Requests to open or renew sessions.

use crate::owner::ReportMark;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// A request to open or renew a session with a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionRenewal {
    /// The worker to call.
    pub worker: WorkerName,
    /// Epoch of the owner, the fencing token.
    pub epoch: CellEpoch,
    /// Ordinal among the owner's sessions; an answer to an earlier ordinal is ignored.
    pub ordinal: u64,
    /// Ended attempts that the worker may forget.
    pub settled: Vec<(TaskName, AttemptNumber)>,
    /// The report that the owner holds, as base for changes; `None` asks for a full report.
    pub known: Option<ReportMark>,
}
