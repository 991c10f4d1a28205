//! The queue of a cell.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::CellNumber;

/// Batch tasks of one cell that the answering daemon owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// The cell.
    pub cell: CellNumber,
    /// Tasks waiting for a worker.
    pub waiting: u64,
    /// Tasks on a worker.
    pub running: u64,
    /// Tasks whose processor time is limited for the sake of services.
    #[serde(default)]
    pub throttled: u64,
}
