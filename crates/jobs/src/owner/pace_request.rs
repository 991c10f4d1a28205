//! Request to change the pace of a run.

use std::net::SocketAddr;

use sapphirestile_core::CellEpoch;
use sapphirestile_core::WorkerName;

use crate::spec::TaskIdentity;

/// Limits a run to a share of its full speed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceRequest {
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
    /// New pace, in percent of full speed; 0 pauses the run.
    pub percent: u32,
}
