//! A call to a lender.

use crate::shares::ShareReport;
use sapphirestile_core::CellNumber;

/// A report that is due at a lender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareOrder {
    /// The cell that lends.
    pub lender: CellNumber,
    /// What to tell it.
    pub report: ShareReport,
}
