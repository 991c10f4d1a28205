//! Names a report of a worker.

use sapphirestile_core::IncarnationNumber;

/// Names a report of a worker, and with it what the worker showed then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportMark {
    /// The life of the worker's program that gave it.
    pub incarnation: IncarnationNumber,
    /// The permit that came with it.
    pub permit: u64,
}
