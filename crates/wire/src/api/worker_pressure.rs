//! The slowdown of requests on a worker's machine.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::WorkerName;

/// The measured slowdown of requests on the machine of a worker, as the owner of its
/// cell sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerPressure {
    /// The name of the worker.
    pub worker: WorkerName,
    /// How much longer requests took than without interference, in thousandths.
    pub slowdown_permille: u64,
    /// The number of measured requests.
    pub requests: u64,
    /// The number of daemons that measured them.
    pub daemons: u32,
    /// The number of throttled tasks on the worker.
    pub throttled: u32,
}
