//! Request to start a run.

use std::net::SocketAddr;
use std::sync::Arc;

use sapphirestile_core::CellEpoch;
use sapphirestile_core::WorkerName;

use crate::spec::JobSpec;
use crate::spec::TaskIdentity;
use crate::worker::WorkerIncarnation;

/// Starts a run on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRequest {
    /// Worker that the run is assigned to.
    pub worker: WorkerName,
    /// Network address of the worker.
    pub address: SocketAddr,
    /// Incarnation that the request is meant for, whose clock the lease refers to. No other
    /// may get it.
    pub incarnation: WorkerIncarnation,
    /// Epoch of the owner, as fencing token.
    pub epoch: CellEpoch,
    /// Task that the run executes.
    pub task: TaskIdentity,
    /// Number of the run, higher than that of all earlier runs of the task.
    pub run: u32,
    /// Specification of the job, with the text for the task.
    pub spec: Arc<JobSpec>,
    /// Checkpoint to resume from; empty to start from scratch.
    pub checkpoint: Box<str>,
    /// Ticket of the advisor; empty if the queue has no advisor.
    pub ticket: Box<str>,
    /// End of the lease, on the worker's clock in milliseconds.
    pub lease_end_ms: u64,
}
