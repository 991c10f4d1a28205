//! The state of a keeper, for people to read.

use serde::Serialize;

use crate::cells::ThrottleDump;
use sapphirestile_cells::CellState;
use sapphirestile_core::CellNumber;
use sapphirestile_wire::api::WorkerPressure;

/// What a keeper shows of itself.
#[derive(Clone, Debug, Serialize)]
pub struct KeeperDump {
    /// The cell.
    pub cell: CellNumber,
    /// Its state, with changes that are not in the journal yet.
    pub state: CellState,
    /// Whether an entry is on its way to the journal.
    pub committing: bool,
    /// The latest decisions, oldest first.
    pub decisions: Vec<String>,
    /// How many batches were beaten by a change of the configuration.
    pub beaten: u64,
    /// How many running attempts were asked to stop for the worker's sake.
    pub evictions: u64,
    /// The throttled tasks.
    pub throttles: Vec<ThrottleDump>,
    /// The workers beside which requests were measured.
    pub pressures: Vec<WorkerPressure>,
}
