//! The whole state of one quota.

use crate::share_lending::borrower_cell::BorrowerCell;
use crate::share_lending::lender_cell::LenderCell;

/// The cells that borrow.
pub(crate) const BORROWERS: usize = 2;
/// The whole quota, in shares of one task.
pub(crate) const QUOTA: u8 = 2;

/// Lender, borrowers and what is left of the bounded events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShareState {
    pub(crate) lender: LenderCell,
    pub(crate) borrowers: [BorrowerCell; BORROWERS],
    /// Totals that no owner tells of again, where a rule is left out.
    pub(crate) silenced: [u8; BORROWERS],
    pub(crate) loans: u8,
    pub(crate) kills: u8,
    pub(crate) starts: u8,
}

impl ShareState {
    pub(crate) const fn borrower(&self, borrower: u8) -> &BorrowerCell {
        &self.borrowers[borrower as usize]
    }

    pub(crate) const fn borrower_mut(&mut self, borrower: u8) -> &mut BorrowerCell {
        &mut self.borrowers[borrower as usize]
    }

    /// Tasks whose start is in a journal and whose end is not.
    pub(crate) fn running(&self) -> u8 {
        let borrowers = self.borrowers.iter();
        let elsewhere = borrowers.map(|borrower| borrower.journal.running);
        self.lender.journal.running + elsewhere.sum::<u8>()
    }

    /// The shares that all journals together speak of.
    pub(crate) fn shares(&self) -> u8 {
        let borrowers = self.borrowers.iter();
        let held = borrowers.map(|borrower| borrower.journal.held());
        self.lender.journal.kept() + held.sum::<u8>()
    }
}
