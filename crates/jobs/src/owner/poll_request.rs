//! Request to poll a worker.

use std::net::SocketAddr;

use sapphirestile_core::CellEpoch;
use sapphirestile_core::WorkerName;

use crate::worker::EndPosition;

/// Polls the state of a worker, which also renews the lease of its runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// Worker to poll.
    pub worker: WorkerName,
    /// Network address of the worker.
    pub address: SocketAddr,
    /// Epoch of the owner, as fencing token.
    pub epoch: CellEpoch,
    /// Number of the poll, which rises with each poll of the worker.
    pub number: u64,
    /// End of the lease of all runs, on the clock of the incarnation in `stored_end`, in
    /// milliseconds, and for no other one; `None` to leave the lease as it is.
    pub lease_end_ms: Option<u64>,
    /// The incarnation named there may drop ends of runs up to this position, which are stored;
    /// `None` if it is not known which incarnation will be reached.
    pub stored_end: Option<EndPosition>,
    /// Time for which the worker may hold the response until a run ends, in milliseconds.
    pub wait_ms: u64,
}
