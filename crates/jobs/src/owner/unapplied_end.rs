//! End of a run of a job that its owner does not hold.

use serde::Deserialize;
use serde::Serialize;

use crate::worker::EndedRun;
use sapphirestile_core::WorkerName;

/// End of a run of a job that was left out, as its worker reported it. It is stored for an
/// owner that can read the job: the worker lists it no more once it is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnappliedEnd {
    /// Worker that reported the end.
    pub worker: WorkerName,
    /// The run and how it ended.
    pub ended: EndedRun,
}
