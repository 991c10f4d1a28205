//! Reports of slowdowns to the owner of a cell.

use serde::Deserialize;
use serde::Serialize;

use crate::peer::WorkerSlowdown;
use sapphirestile_core::CellNumber;

/// Slowdowns of requests that the sender measured on the machines of one cell's workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowdownReport {
    /// The cell of the workers.
    pub cell: CellNumber,
    /// One row for each worker, at most [`SlowdownReport::ROWS_MAX`].
    pub rows: Vec<WorkerSlowdown>,
}

impl SlowdownReport {
    /// The maximum number of rows in a report. With names of the maximum length, the
    /// datagram still stays below the size at which links fragment.
    pub const ROWS_MAX: usize = 16;
}
