//! How much requests were slowed beside the workers of a cell.

use serde::Deserialize;
use serde::Serialize;

use crate::peer::WorkerSlowdown;
use sapphirestile_core::CellNumber;

/// Slowdowns that the sender observed beside workers of one cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowdownReport {
    /// The cell of the workers.
    pub cell: CellNumber,
    /// The slowdowns, at most [`SlowdownReport::ROWS_MAX`].
    pub rows: Vec<WorkerSlowdown>,
}

impl SlowdownReport {
    /// The most slowdowns in one report: with the longest names it stays below the
    /// size of a datagram that no link splits.
    pub const ROWS_MAX: usize = 16;
}
