//! A cell that borrows shares.

use crate::share_lending::borrower_totals::BorrowerTotals;

/// A cell that borrows shares, with its owner and its journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BorrowerCell {
    /// State in the memory of its owner, with decisions that may not be committed yet.
    pub decided: BorrowerTotals,
    /// State by the entries committed to its journal.
    pub committed: BorrowerTotals,
    /// Largest total of returned shares that was sent to the lender.
    pub sent_total: u8,
}
