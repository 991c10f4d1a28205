//! An order to work at a pace.

use std::net::SocketAddr;

use sapphirestile_core::CellEpoch;
use sapphirestile_core::WorkerName;

use crate::order::TaskAddress;

/// Let a run work at a share of its pace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceOrder {
    /// The worker.
    pub worker: WorkerName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The owner's epoch.
    pub epoch: CellEpoch,
    /// The task.
    pub task: TaskAddress,
    /// The run.
    pub run: u32,
    /// The share, in percent.
    pub percent: u32,
}
