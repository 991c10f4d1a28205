//! The report that an owner has whole.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_cells::ReportMark;
use sapphirestile_core::IncarnationNumber;

/// Which report an owner has whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownReport {
    /// The life of the worker's program that gave it.
    pub incarnation: IncarnationNumber,
    /// Its number: the permit that came with it.
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
