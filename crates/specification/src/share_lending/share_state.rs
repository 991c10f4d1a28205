//! State of the share protocol.

use crate::share_lending::borrower_cell::BorrowerCell;
use crate::share_lending::lender_cell::LenderCell;

/// Number of cells that borrow.
pub(crate) const BORROWERS: usize = 2;
/// The quota, in shares; each share allows one running task.
pub(crate) const QUOTA: u8 = 2;

/// State of the lender and the borrowers, and how many of the bounded actions are left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShareState {
    pub(crate) lender: LenderCell,
    pub(crate) borrowers: [BorrowerCell; BORROWERS],
    /// Lent totals of a former owner, which the next one does not send again, by borrower;
    /// 0 without the mutation
    /// [`ToldByItsOwnerOnly`](crate::ShareMutation::ToldByItsOwnerOnly).
    pub(crate) withheld_totals: [u8; BORROWERS],
    /// Shares that may still be lent.
    pub(crate) loans: u8,
    /// Owners that may still be killed.
    pub(crate) kills: u8,
    /// Tasks that may still be started.
    pub(crate) starts: u8,
}

impl ShareState {
    pub(crate) const fn borrower(&self, borrower: u8) -> &BorrowerCell {
        &self.borrowers[borrower as usize]
    }

    pub(crate) const fn borrower_mut(&mut self, borrower: u8) -> &mut BorrowerCell {
        &mut self.borrowers[borrower as usize]
    }

    /// Number of tasks whose start is committed and whose end is not.
    pub(crate) fn running(&self) -> u8 {
        let borrowers = self.borrowers.iter();
        let at_borrowers = borrowers.map(|borrower| borrower.committed.running);
        self.lender.committed.running + at_borrowers.sum::<u8>()
    }

    /// Number of shares kept by the lender or held by a borrower, by the journals. Shares on
    /// their way from one to another are not counted.
    pub(crate) fn shares(&self) -> u8 {
        let borrowers = self.borrowers.iter();
        let held = borrowers.map(|borrower| borrower.committed.held());
        self.lender.committed.kept() + held.sum::<u8>()
    }
}
