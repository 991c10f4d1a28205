//! The state of a cell's actor, for diagnosis.

use serde::Serialize;

use crate::cells::ThrottleDump;
use sapphirestile_cells::CellState;
use sapphirestile_core::CellNumber;
use sapphirestile_wire::api::WorkerPressure;

/// The state of a cell's actor, served as JSON for diagnosis.
#[derive(Clone, Debug, Serialize)]
pub struct CellDump {
    /// Number of the cell.
    pub cell: CellNumber,
    /// The cell state, including changes that are not committed yet.
    pub state: CellState,
    /// Whether a commit to the journal is in flight.
    pub committing: bool,
    /// The latest scheduling decisions as text, oldest first.
    pub decisions: Vec<String>,
    /// Number of commits rejected because the configuration had changed.
    #[serde(rename = "beaten")]
    pub outdated_commits: u64,
    /// Number of running attempts that were asked to stop because of their worker.
    pub evictions: u64,
    /// The tasks that are throttled now.
    pub throttles: Vec<ThrottleDump>,
    /// The workers for which daemons have measured the slowdown of requests.
    pub pressures: Vec<WorkerPressure>,
}
