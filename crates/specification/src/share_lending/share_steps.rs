//! Effects of the steps of the share protocol.

use crate::share_lending::share_action::ShareAction;
use crate::share_lending::share_model::ShareModel;
use crate::share_lending::share_mutation::ShareMutation;
use crate::share_lending::share_state::ShareState;

impl ShareModel {
    /// Applies `action` to `state`.
    pub(super) fn apply_action(self, state: &mut ShareState, action: ShareAction) {
        match action {
            ShareAction::LendShare { borrower } => {
                state.loans -= 1;
                state.lender.decided.lent[usize::from(borrower)] += 1;
            }
            ShareAction::SendLent { borrower } => {
                let index = usize::from(borrower);
                state.lender.sent_totals[index] = self.sendable_lent(state, borrower);
            }
            ShareAction::ReceiveLent { borrower, total } => {
                let totals = &mut state.borrower_mut(borrower).decided;
                if self.mutation == Some(ShareMutation::BorrowerAdds) {
                    totals.lent += 1;
                } else {
                    totals.lent = total.max(totals.lent);
                }
            }
            ShareAction::ReturnShare { borrower } => {
                state.borrower_mut(borrower).decided.returned += 1;
            }
            ShareAction::SendReturned { borrower } => {
                state.borrower_mut(borrower).sent_total = self.sendable_returned(state, borrower);
            }
            ShareAction::ReceiveReturned { borrower, total } => {
                let returned = &mut state.lender.decided.returned[usize::from(borrower)];
                *returned = total.max(*returned);
            }
            ShareAction::CommitLender => state.lender.committed = state.lender.decided,
            ShareAction::KillLender => self.kill_lender(state),
            ShareAction::StartLenderTask => {
                state.starts -= 1;
                state.lender.decided.running += 1;
            }
            ShareAction::EndLenderTask => state.lender.decided.running -= 1,
            ShareAction::StartBorrowerTask { borrower } => {
                state.starts -= 1;
                state.borrower_mut(borrower).decided.running += 1;
            }
            ShareAction::EndBorrowerTask { borrower } => {
                state.borrower_mut(borrower).decided.running -= 1;
            }
            ShareAction::CommitBorrower { borrower } => {
                let cell = state.borrower_mut(borrower);
                cell.committed = cell.decided;
            }
            ShareAction::KillBorrower { borrower } => {
                state.kills -= 1;
                let cell = state.borrower_mut(borrower);
                cell.decided = cell.committed;
            }
        }
    }

    /// Total of lent shares that the lender may send to `borrower` now.
    pub(super) fn sendable_lent(self, state: &ShareState, borrower: u8) -> u8 {
        let lender = &state.lender;
        let totals = if self.mutation == Some(ShareMutation::LentBeforeCommit) {
            &lender.decided
        } else {
            &lender.committed
        };
        totals.lent[usize::from(borrower)]
    }

    /// Total of returned shares that `borrower` may send now.
    pub(super) fn sendable_returned(self, state: &ShareState, borrower: u8) -> u8 {
        let cell = state.borrower(borrower);
        if self.mutation == Some(ShareMutation::ReturnedBeforeCommit) {
            cell.decided.returned
        } else {
            cell.committed.returned
        }
    }

    fn kill_lender(self, state: &mut ShareState) {
        state.kills -= 1;
        state.lender.decided = state.lender.committed;
        if self.mutation == Some(ShareMutation::ToldByItsOwnerOnly) {
            state.withheld_totals = state.lender.committed.lent;
        }
    }
}
