//! An order to start a run.

use std::net::SocketAddr;
use std::sync::Arc;

use sapphirestile_core::CellEpoch;
use sapphirestile_core::WorkerName;

use crate::order::JobOrder;
use crate::order::TaskAddress;

/// Start a run at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
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
    /// The job, with the text for the task.
    pub order: Arc<JobOrder>,
    /// Where it goes on from; empty when it begins anew.
    pub checkpoint: Box<str>,
    /// The advisor's leave; empty where none is asked for.
    pub ticket: Box<str>,
    /// When its lease ends, on the worker's clock in milliseconds.
    pub lease_end_ms: u64,
}
