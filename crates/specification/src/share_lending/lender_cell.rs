//! The cell that lends shares.

use crate::share_lending::lender_totals::LenderTotals;
use crate::share_lending::share_state::BORROWERS;

/// The cell that lends shares, with its owner and its journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LenderCell {
    /// State in the memory of its owner, with decisions that may not be committed yet.
    pub decided: LenderTotals,
    /// State by the entries committed to its journal.
    pub committed: LenderTotals,
    /// Largest total of lent shares that was sent to each borrower.
    pub sent_totals: [u8; BORROWERS],
}
