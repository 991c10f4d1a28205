//! A cell that borrows.

use crate::share_lending::borrower_totals::BorrowerTotals;

/// A cell that borrows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BorrowerCell {
    /// What its owner has decided.
    pub decided: BorrowerTotals,
    /// What its journal holds.
    pub journal: BorrowerTotals,
    /// The largest total of returned shares that was told.
    pub told: u8,
}
