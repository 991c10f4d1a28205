//! Totals of a borrower.

/// Totals of shares and running tasks of a borrower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BorrowerTotals {
    /// Largest total of lent shares that it received from the lender.
    pub lent: u8,
    /// Total number of shares that it has returned.
    pub returned: u8,
    /// Number of its running tasks, each of which uses one share.
    pub running: u8,
}

impl BorrowerTotals {
    /// Number of shares that it holds.
    pub(crate) const fn held(self) -> u8 {
        self.lent.saturating_sub(self.returned)
    }
}
