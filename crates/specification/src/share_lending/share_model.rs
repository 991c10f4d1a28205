//! Model of the share protocol.

use crate::model_step::ModelStep;
use crate::protocol_model::ProtocolModel;
use crate::share_lending::share_action::ShareAction;
use crate::share_lending::share_mutation::ShareMutation;
use crate::share_lending::share_state::BORROWERS;
use crate::share_lending::share_state::QUOTA;
use crate::share_lending::share_state::ShareState;

/// Limit of a received total with [`ShareMutation::BorrowerAdds`], which would grow forever.
const LENT_MAX: u8 = 4;

/// Model with one quota of two shares, a lender and two borrowers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareModel {
    /// Maximum number of shares that are lent.
    pub loans: u8,
    /// Maximum number of owners that are killed.
    pub kills: u8,
    /// Maximum number of tasks that are started.
    pub starts: u8,
    /// The rule that is left out; `None` for the complete protocol.
    pub mutation: Option<ShareMutation>,
}

impl ShareModel {
    /// Bounds that every run of the tests covers.
    #[must_use]
    pub const fn small(mutation: Option<ShareMutation>) -> Self {
        Self {
            loans: 3,
            kills: 2,
            starts: 3,
            mutation,
        }
    }

    /// Larger bounds, for a longer search.
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
            actions.push(ShareAction::StartLenderTask);
        }
        // A task can only end after it has run, so its start is in the journal.
        if lender.committed.running > 0 && totals.running == lender.committed.running {
            actions.push(ShareAction::EndLenderTask);
        }
        if *totals != lender.committed {
            actions.push(ShareAction::CommitLender);
        }
        if state.kills > 0 {
            actions.push(ShareAction::KillLender);
        }
    }

    fn borrower_actions(self, state: &ShareState, borrower: u8, actions: &mut Vec<ShareAction>) {
        let cell = state.borrower(borrower);
        let totals = &cell.decided;
        let idle = totals.held() > totals.running;
        if idle && state.starts > 0 {
            actions.push(ShareAction::StartBorrowerTask { borrower });
        }
        let returns_used = self.mutation == Some(ShareMutation::UsedReturned) && totals.held() > 0;
        if idle || returns_used {
            actions.push(ShareAction::ReturnShare { borrower });
        }
        if cell.committed.running > 0 && totals.running == cell.committed.running {
            actions.push(ShareAction::EndBorrowerTask { borrower });
        }
        if *totals != cell.committed {
            actions.push(ShareAction::CommitBorrower { borrower });
        }
        if state.kills > 0 {
            actions.push(ShareAction::KillBorrower { borrower });
        }
        self.pair_actions(state, borrower, actions);
    }

    fn pair_actions(self, state: &ShareState, borrower: u8, actions: &mut Vec<ShareAction>) {
        let index = usize::from(borrower);
        let cell = state.borrower(borrower);
        let lender = &state.lender;
        let unlendable = if self.mutation == Some(ShareMutation::OwnUseLent) {
            0
        } else {
            lender.decided.running
        };
        if lender.decided.kept() > unlendable && state.loans > 0 {
            actions.push(ShareAction::LendShare { borrower });
        }
        let lent = self.sendable_lent(state, borrower);
        if lent > lender.sent_totals[index] && lent > state.withheld_totals[index] {
            actions.push(ShareAction::SendLent { borrower });
        }
        let borrower_adds = self.mutation == Some(ShareMutation::BorrowerAdds);
        let known_total = cell.decided.lent;
        let first = if borrower_adds && known_total < LENT_MAX {
            1
        } else {
            known_total + 1
        };
        let totals = first..=lender.sent_totals[index];
        actions.extend(totals.map(|total| ShareAction::ReceiveLent { borrower, total }));
        if self.sendable_returned(state, borrower) > cell.sent_total {
            actions.push(ShareAction::SendReturned { borrower });
        }
        let totals = lender.decided.returned[index] + 1..=cell.sent_total;
        actions.extend(totals.map(|total| ShareAction::ReceiveReturned { borrower, total }));
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
        // Not checked with a mutation, which has to break the property above instead.
        (state.shares() > QUOTA && self.mutation.is_none()).then_some("shares are never multiplied")
    }

    fn is_fault(&self, action: &ShareAction) -> bool {
        matches!(
            action,
            ShareAction::KillLender
                | ShareAction::KillBorrower { .. }
                | ShareAction::LendShare { .. }
                | ShareAction::StartLenderTask
                | ShareAction::StartBorrowerTask { .. }
        )
    }

    fn must_heal(&self, _state: &ShareState) -> bool {
        true
    }

    fn is_healed(&self, state: &ShareState) -> bool {
        state.lender.committed.kept() == QUOTA && state.running() == 0
    }
}
