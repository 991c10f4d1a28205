//! The asks of one borrower.

use serde::Deserialize;
use serde::Serialize;

use crate::shares::ShareAsk;
use sapphirestile_core::CellNumber;

/// What a borrower tells one lender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReport {
    /// The cell that borrows.
    pub borrower: CellNumber,
    /// One ask for each customer that is due.
    pub asks: Vec<ShareAsk>,
}
