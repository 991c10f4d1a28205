//! The measured slowdown of requests on a worker's machine.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::WorkerName;

/// One row of a [`SlowdownReport`](crate::peer::SlowdownReport).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSlowdown {
    /// The name of the worker.
    pub worker: WorkerName,
    /// How much longer requests took than without interference, in thousandths.
    pub slowdown_permille: u32,
    /// The number of measured requests.
    pub requests: u32,
    /// The time from the answer to the first measured request until this row was sent, in
    /// milliseconds.
    pub age_ms: u32,
}
