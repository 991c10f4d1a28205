//! The base of an incremental report.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_cells::ReportMark;
use sapphirestile_core::IncarnationNumber;

/// Identifies the last report that the owner has applied completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownReport {
    /// The incarnation of the worker's process that gave the report.
    pub incarnation: IncarnationNumber,
    /// The permit that came with the report, which serves as its number.
    pub permit: u64,
}

impl From<ReportMark> for KnownReport {
    fn from(mark: ReportMark) -> Self {
        Self {
            incarnation: mark.incarnation,
            permit: mark.permit,
        }
    }
}
