//! A borrower's reports to its lenders.

use serde::Deserialize;
use serde::Serialize;

use crate::shares::ShareRequest;
use sapphirestile_core::CellNumber;

/// A borrower's report to one lender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReport {
    /// The cell that borrows.
    pub borrower: CellNumber,
    /// One request for each customer that is due.
    pub requests: Vec<ShareRequest>,
}
