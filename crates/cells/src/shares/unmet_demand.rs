//! Demands that a lender could not meet.

use sapphirestile_core::MonoTime;

/// A borrower's demand that the lender could not meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnmetDemand {
    /// When the borrower first asked.
    pub since: MonoTime,
    /// When the demand expires unless it is repeated.
    pub until: MonoTime,
}
