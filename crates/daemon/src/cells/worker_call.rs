//! A call to a worker, on its way through the pool.

use std::net::SocketAddr;

use crossbeam::channel::Sender;

use crate::cells::KeeperEvent;
use crate::cells::WorkerReach;
use sapphirestile_cells::CellEffect;
use sapphirestile_core::CellNumber;

/// A call to a worker, and where its answer goes.
pub struct WorkerCall {
    /// The cell.
    pub cell: CellNumber,
    /// Where the worker is reached.
    pub address: SocketAddr,
    /// Whether the worker answered last.
    pub reach: WorkerReach,
    /// What it is asked.
    pub effect: CellEffect,
    /// Where the answer goes.
    pub events: Sender<KeeperEvent>,
}
