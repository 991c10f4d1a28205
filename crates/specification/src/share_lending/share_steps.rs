//! What each step does to the shares.

use crate::share_lending::share_action::ShareAction;
use crate::share_lending::share_model::ShareModel;
use crate::share_lending::share_mutation::ShareMutation;
use crate::share_lending::share_state::ShareState;

impl ShareModel {
    /// Carries one step out.
    pub(super) fn apply_action(self, state: &mut ShareState, action: ShareAction) {
        match action {
            ShareAction::Lend { borrower } => {
                state.loans -= 1;
                state.lender.decided.lent[usize::from(borrower)] += 1;
            }
            ShareAction::TellLent { borrower } => {
                let place = usize::from(borrower);
                state.lender.told[place] = self.tellable_lent(state, borrower);
            }
            ShareAction::HearLent { borrower, total } => {
                let totals = &mut state.borrower_mut(borrower).decided;
                if self.mutation == Some(ShareMutation::BorrowerAdds) {
                    totals.lent += 1;
                } else {
                    totals.lent = total.max(totals.lent);
                }
            }
            ShareAction::Return { borrower } => state.borrower_mut(borrower).decided.returned += 1,
            ShareAction::TellReturned { borrower } => {
                state.borrower_mut(borrower).told = self.tellable_returned(state, borrower);
            }
            ShareAction::HearReturned { borrower, total } => {
                let returned = &mut state.lender.decided.returned[usize::from(borrower)];
                *returned = total.max(*returned);
            }
            ShareAction::CommitHere => state.lender.journal = state.lender.decided,
            ShareAction::KillHere => self.kill_lender(state),
            ShareAction::StartHere => {
                state.starts -= 1;
                state.lender.decided.running += 1;
            }
            ShareAction::EndHere => state.lender.decided.running -= 1,
            ShareAction::Start { borrower } => {
                state.starts -= 1;
                state.borrower_mut(borrower).decided.running += 1;
            }
            ShareAction::End { borrower } => state.borrower_mut(borrower).decided.running -= 1,
            ShareAction::Commit { borrower } => {
                let cell = state.borrower_mut(borrower);
                cell.journal = cell.decided;
            }
            ShareAction::Kill { borrower } => {
                state.kills -= 1;
                let cell = state.borrower_mut(borrower);
                cell.decided = cell.journal;
            }
        }
    }

    /// The total that the lender may tell of now.
    pub(super) fn tellable_lent(self, state: &ShareState, borrower: u8) -> u8 {
        let lender = &state.lender;
        let totals = if self.mutation == Some(ShareMutation::LentBeforeCommit) {
            &lender.decided
        } else {
            &lender.journal
        };
        totals.lent[usize::from(borrower)]
    }

    /// The total that a borrower may tell of now.
    pub(super) fn tellable_returned(self, state: &ShareState, borrower: u8) -> u8 {
        let cell = state.borrower(borrower);
        if self.mutation == Some(ShareMutation::ReturnedBeforeCommit) {
            cell.decided.returned
        } else {
            cell.journal.returned
        }
    }

    fn kill_lender(self, state: &mut ShareState) {
        state.kills -= 1;
        state.lender.decided = state.lender.journal;
        if self.mutation == Some(ShareMutation::ToldByItsOwnerOnly) {
            state.silenced = state.lender.journal.lent;
        }
    }
}
