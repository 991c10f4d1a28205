//! A call to a worker.

use std::net::SocketAddr;

use crossbeam::channel::Sender;

use crate::cells::CellEvent;
use crate::cells::WorkerReach;
use sapphirestile_cells::CellEffect;
use sapphirestile_core::CellNumber;

/// A call to a worker, for the [`crate::cells::WorkerPool`].
pub struct WorkerCall {
    /// The cell that makes the call.
    pub cell: CellNumber,
    /// The worker's address in the list of VMs.
    pub address: SocketAddr,
    /// Whether the worker responded to its last session request; selects the threads that
    /// make the call.
    pub reach: WorkerReach,
    /// The session, start, stop or throttle to request.
    pub effect: CellEffect,
    /// Receives an event for the response to a session or a start. Stops and throttles
    /// have no event: the next session report shows their effect.
    pub events: Sender<CellEvent>,
}
