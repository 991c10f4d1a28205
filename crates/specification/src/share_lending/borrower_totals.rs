//! What a borrower counts.

/// What a borrower counts, and its running tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BorrowerTotals {
    /// Heard to have been lent to it.
    pub lent: u8,
    /// Returned so far.
    pub returned: u8,
    /// Tasks that run here, each on one share.
    pub running: u8,
}

impl BorrowerTotals {
    /// The shares that it holds.
    pub(crate) const fn held(self) -> u8 {
        self.lent.saturating_sub(self.returned)
    }
}
