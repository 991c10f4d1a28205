//! The cell that lends.

use crate::share_lending::lender_totals::LenderTotals;
use crate::share_lending::share_state::BORROWERS;

/// The cell that lends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LenderCell {
    /// What its owner has decided.
    pub decided: LenderTotals,
    /// What its journal holds.
    pub journal: LenderTotals,
    /// The largest total told to each borrower.
    pub told: [u8; BORROWERS],
}
