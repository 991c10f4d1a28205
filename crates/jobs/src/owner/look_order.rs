//! An order to look at a worker.

use std::net::SocketAddr;

use sapphirestile_core::CellEpoch;
use sapphirestile_core::WorkerName;

/// Look at a worker, which renews the lease of all that runs there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookOrder {
    /// The worker.
    pub worker: WorkerName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The owner's epoch.
    pub epoch: CellEpoch,
    /// The number of the look.
    pub number: u64,
    /// When the lease of its runs ends, on the worker's clock in milliseconds.
    pub lease_end_ms: Option<u64>,
    /// The ends up to this number are stored.
    pub ends_stored: u64,
    /// How long the answer may wait for an end, in milliseconds.
    pub wait_ms: u64,
}
