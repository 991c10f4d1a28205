//! The lending of shares as a model.

use crate::model_step::ModelStep;
use crate::protocol_model::ProtocolModel;
use crate::share_lending::share_action::ShareAction;
use crate::share_lending::share_mutation::ShareMutation;
use crate::share_lending::share_state::BORROWERS;
use crate::share_lending::share_state::QUOTA;
use crate::share_lending::share_state::ShareState;

const TOTAL_MAX: u8 = 4;

/// One quota of two shares, a lender and two borrowers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareModel {
    /// Shares lent.
    pub loans: u8,
    /// Owners killed.
    pub kills: u8,
    /// Tasks started.
    pub starts: u8,
    /// The rule that is left out, if any.
    pub mutation: Option<ShareMutation>,
}

impl ShareModel {
    /// A model for every run of the tests.
    #[must_use]
    pub const fn small(mutation: Option<ShareMutation>) -> Self {
        Self {
            loans: 3,
            kills: 2,
            starts: 3,
            mutation,
        }
    }

    /// A model for a deeper search.
    #[must_use]
    pub const fn large(mutation: Option<ShareMutation>) -> Self {
        Self {
            loans: 4,
            kills: 3,
            starts: 5,
            mutation,
        }
    }

    fn lender_actions(state: &ShareState, actions: &mut Vec<ShareAction>) {
        let lender = &state.lender;
        let totals = &lender.decided;
        if totals.kept() > totals.running && state.starts > 0 {
            actions.push(ShareAction::StartHere);
        }
        // What ends has run, so its start is in the journal.
        if lender.journal.running > 0 && totals.running == lender.journal.running {
            actions.push(ShareAction::EndHere);
        }
        if *totals != lender.journal {
            actions.push(ShareAction::CommitHere);
        }
        if state.kills > 0 {
            actions.push(ShareAction::KillHere);
        }
    }

    fn borrower_actions(self, state: &ShareState, borrower: u8, actions: &mut Vec<ShareAction>) {
        let cell = state.borrower(borrower);
        let totals = &cell.decided;
        let idle = totals.held() > totals.running;
        if idle && state.starts > 0 {
            actions.push(ShareAction::Start { borrower });
        }
        let in_use = self.mutation == Some(ShareMutation::UsedReturned) && totals.held() > 0;
        if idle || in_use {
            actions.push(ShareAction::Return { borrower });
        }
        if cell.journal.running > 0 && totals.running == cell.journal.running {
            actions.push(ShareAction::End { borrower });
        }
        if *totals != cell.journal {
            actions.push(ShareAction::Commit { borrower });
        }
        if state.kills > 0 {
            actions.push(ShareAction::Kill { borrower });
        }
        self.pair_actions(state, borrower, actions);
    }

    fn pair_actions(self, state: &ShareState, borrower: u8, actions: &mut Vec<ShareAction>) {
        let place = usize::from(borrower);
        let cell = state.borrower(borrower);
        let lender = &state.lender;
        let own_use = if self.mutation == Some(ShareMutation::OwnUseLent) {
            0
        } else {
            lender.decided.running
        };
        if lender.decided.kept() > own_use && state.loans > 0 {
            actions.push(ShareAction::Lend { borrower });
        }
        let lent = self.tellable_lent(state, borrower);
        if lent > lender.told[place] && lent > state.silenced[place] {
            actions.push(ShareAction::TellLent { borrower });
        }
        let adds = self.mutation == Some(ShareMutation::BorrowerAdds);
        let heard = cell.decided.lent;
        let first = if adds && heard < TOTAL_MAX {
            1
        } else {
            heard + 1
        };
        let totals = first..=lender.told[place];
        actions.extend(totals.map(|total| ShareAction::HearLent { borrower, total }));
        if self.tellable_returned(state, borrower) > cell.told {
            actions.push(ShareAction::TellReturned { borrower });
        }
        let totals = lender.decided.returned[place] + 1..=cell.told;
        actions.extend(totals.map(|total| ShareAction::HearReturned { borrower, total }));
    }
}

impl ProtocolModel for ShareModel {
    type State = ShareState;
    type Action = ShareAction;

    fn initial_state(&self) -> ShareState {
        ShareState {
            loans: self.loans,
            kills: self.kills,
            starts: self.starts,
            ..ShareState::default()
        }
    }

    fn next_steps(&self, state: &ShareState) -> Vec<ModelStep<ShareState, ShareAction>> {
        let mut actions = Vec::new();
        Self::lender_actions(state, &mut actions);
        for borrower in (0..).take(BORROWERS) {
            self.borrower_actions(state, borrower, &mut actions);
        }
        ModelStep::from_actions(state, actions, |next, action| {
            self.apply_action(next, action);
        })
    }

    fn broken_property(&self, state: &ShareState) -> Option<&'static str> {
        if state.running() > QUOTA {
            return Some("running tasks fit the quota");
        }
        // A mutation has to break the outcome itself, so it is not held to this.
        (state.shares() > QUOTA && self.mutation.is_none()).then_some("shares are never multiplied")
    }

    fn is_fault(&self, action: &ShareAction) -> bool {
        matches!(
            action,
            ShareAction::KillHere
                | ShareAction::Kill { .. }
                | ShareAction::Lend { .. }
                | ShareAction::StartHere
                | ShareAction::Start { .. }
        )
    }

    fn must_heal(&self, _state: &ShareState) -> bool {
        true
    }

    fn is_healed(&self, state: &ShareState) -> bool {
        state.lender.journal.kept() == QUOTA && state.running() == 0
    }
}
