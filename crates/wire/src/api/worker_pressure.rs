//! How much requests are slowed beside a worker.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::WorkerName;

/// A worker beside which requests were measured, as the owner of its cell sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerPressure {
    /// The worker.
    pub worker: WorkerName,
    /// How much longer requests took than undisturbed, in thousandths.
    pub slowdown_permille: u64,
    /// How many requests that was measured by.
    pub requests: u64,
    /// How many daemons measured them.
    pub daemons: u32,
    /// How many tasks there are throttled.
    pub throttled: u32,
}
