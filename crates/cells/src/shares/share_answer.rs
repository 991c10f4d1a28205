//! What a lender answers.

use serde::Deserialize;
use serde::Serialize;

use crate::shares::ShareCounter;
use sapphirestile_core::CustomerName;
use sapphirestile_core::ResourceSize;

/// A lender's answer about one customer's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareAnswer {
    /// The customer.
    pub customer: CustomerName,
    /// All that was lent to the borrower, once it is in the lender's journal.
    pub lent: ShareCounter,
    /// The most that the borrower is to use while others wait for a share.
    pub cap: Option<ResourceSize>,
    /// Whether what it wants was not to be had.
    pub unmet: bool,
}
