//! The state of a keeper, for people to read.

use serde::Serialize;

use sapphirestile_cells::CellState;
use sapphirestile_core::CellNumber;

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
}
