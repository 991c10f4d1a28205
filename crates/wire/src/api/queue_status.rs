//! The status of a cell's task queue.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::CellNumber;

/// Task counts of one cell that the answering daemon owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// The number of the cell.
    pub cell: CellNumber,
    /// Tasks that wait for a worker.
    pub waiting: u64,
    /// Tasks that are assigned to a worker.
    pub running: u64,
    /// Tasks whose CPU time is limited to protect services on the same machine.
    #[serde(default)]
    pub throttled: u64,
}
