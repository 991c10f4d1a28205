//! An order to stop a run.

use std::net::SocketAddr;

use sapphirestile_core::CellEpoch;
use sapphirestile_core::WorkerName;

use crate::order::TaskAddress;

/// Stop a run at a worker, or see to it that it never starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
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
}
