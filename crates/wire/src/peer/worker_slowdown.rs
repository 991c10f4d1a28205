//! How much requests were slowed beside a worker.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::WorkerName;

/// A measurement of requests on the machine of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSlowdown {
    /// The worker.
    pub worker: WorkerName,
    /// How much longer requests took than undisturbed, in thousandths.
    pub slowdown_permille: u32,
    /// How many requests were measured.
    pub requests: u32,
    /// How long before the sending the first of them was answered, in milliseconds.
    pub age_ms: u32,
}
