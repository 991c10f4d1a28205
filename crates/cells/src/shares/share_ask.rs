//! What a borrower tells its lender.

use serde::Deserialize;
use serde::Serialize;

use crate::shares::ShareTotals;
use sapphirestile_core::CustomerName;
use sapphirestile_core::ResourceSize;

/// What a borrower tells the lender of one customer's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareAsk {
    /// The customer.
    pub customer: CustomerName,
    /// The totals in the borrower's journal.
    pub totals: ShareTotals,
    /// What it wants beyond what it holds; nothing when it only reports.
    pub wanted: ResourceSize,
    /// The least that is of use to it.
    pub unit: ResourceSize,
}
