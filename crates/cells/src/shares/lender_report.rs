//! Reports addressed to lenders.

use crate::shares::ShareReport;
use sapphirestile_core::CellNumber;

/// A report that is due at a lender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LenderReport {
    /// The cell that lends.
    pub lender: CellNumber,
    /// The report to send to it.
    pub report: ShareReport,
}
