//! A borrower's requests to its lender.

use serde::Deserialize;
use serde::Serialize;

use crate::shares::ShareTotals;
use sapphirestile_core::CustomerName;
use sapphirestile_core::ResourceSize;

/// A borrower's report and request about one customer's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// The customer whose quota it is.
    pub customer: CustomerName,
    /// The totals as committed to the borrower's journal.
    pub totals: ShareTotals,
    /// The share wanted beyond what the borrower holds; zero when it only reports.
    pub wanted: ResourceSize,
    /// The smallest additional share that lets a task start.
    pub unit: ResourceSize,
}
