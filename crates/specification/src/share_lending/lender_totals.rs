//! Totals of the lender.

use crate::share_lending::share_state::BORROWERS;
use crate::share_lending::share_state::QUOTA;

/// Totals of shares by borrower, and running tasks of the lender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LenderTotals {
    /// Total number of shares lent to each borrower.
    pub lent: [u8; BORROWERS],
    /// Largest total of returned shares received from each borrower.
    pub returned: [u8; BORROWERS],
    /// Number of its own running tasks, each of which uses one share.
    pub running: u8,
}

impl LenderTotals {
    /// Number of shares that are not lent, in use or not.
    pub(crate) fn kept(self) -> u8 {
        let lent = self.lent.iter().sum::<u8>();
        let returned = self.returned.iter().sum::<u8>();
        (QUOTA + returned).saturating_sub(lent)
    }
}
