//! What a lender counts.

use crate::share_lending::share_state::BORROWERS;
use crate::share_lending::share_state::QUOTA;

/// What a lender counts, and its own running tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LenderTotals {
    /// Lent to each borrower so far.
    pub lent: [u8; BORROWERS],
    /// Heard to have been returned by each.
    pub returned: [u8; BORROWERS],
    /// Tasks that run here, each on one share.
    pub running: u8,
}

impl LenderTotals {
    /// The shares that it has not lent.
    pub(crate) fn kept(self) -> u8 {
        let lent = self.lent.iter().sum::<u8>();
        let returned = self.returned.iter().sum::<u8>();
        (QUOTA + returned).saturating_sub(lent)
    }
}
