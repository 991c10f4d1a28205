//! Request to stop a run.

use std::net::SocketAddr;

use sapphirestile_core::CellEpoch;
use sapphirestile_core::WorkerName;

use crate::spec::TaskIdentity;

/// Stops a run on a worker, or prevents it from starting if it has not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopRequest {
    /// Worker of the run.
    pub worker: WorkerName,
    /// Network address of the worker.
    pub address: SocketAddr,
    /// Epoch of the owner, as fencing token.
    pub epoch: CellEpoch,
    /// Task that the run executes.
    pub task: TaskIdentity,
    /// Number of the run.
    pub run: u32,
}
