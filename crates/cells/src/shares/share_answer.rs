//! A lender's answers to borrowers.

use serde::Deserialize;
use serde::Serialize;

use crate::shares::ShareCounter;
use sapphirestile_core::CustomerName;
use sapphirestile_core::ResourceSize;

/// A lender's answer about one customer's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareAnswer {
    /// The customer whose quota it is.
    pub customer: CustomerName,
    /// Total lent to the borrower. Sent only once it is in the lender's journal.
    pub lent: ShareCounter,
    /// The most that the borrower may use while others wait for a share; `None` for no cap.
    pub cap: Option<ResourceSize>,
    /// Whether nothing could be lent although the borrower asked for a share.
    pub unmet: bool,
}
