//! Model of the transfer protocol.

use crate::model_step::ModelStep;
use crate::protocol_model::ProtocolModel;
use crate::task_transfer::task_view::TaskView;
use crate::task_transfer::transfer_action::TransferAction;
use crate::task_transfer::transfer_cell::TransferCell;
use crate::task_transfer::transfer_mutation::TransferMutation;
use crate::task_transfer::transfer_state::TransferState;

/// Model with one long-running task, the home of its job, another cell, and the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferModel {
    /// Maximum number of claims of each cell, the first included.
    pub claims: u8,
    /// Highest number of a transfer; runs take further ones.
    pub number_max: u8,
    /// Maximum number of runs that end.
    pub ends: u8,
    /// The rule that is left out; `None` for the complete protocol.
    pub mutation: Option<TransferMutation>,
}

impl TransferModel {
    /// Bounds that every run of the tests covers.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_specification::TransferModel;
    ///
    /// assert_eq!(TransferModel::small(None).claims, 2);
    /// ```
    #[must_use]
    pub const fn small(mutation: Option<TransferMutation>) -> Self {
        Self {
            claims: 2,
            number_max: 4,
            ends: 1,
            mutation,
        }
    }

    /// Larger bounds, for a longer search.
    #[must_use]
    pub const fn large(mutation: Option<TransferMutation>) -> Self {
        Self {
            claims: 3,
            number_max: 6,
            ends: 2,
            mutation,
        }
    }

    fn is_possible(self, state: &TransferState, action: TransferAction) -> bool {
        let store = &state.store;
        match action {
            TransferAction::Cancel => !store.is_cancelled[0],
            TransferAction::ProcessLateCommit => state.late.is_some(),
            TransferAction::Claim(cell) => store.epochs[cell.index()] < self.claims,
            TransferAction::EndRun(cell) => state.runs[cell.index()] && state.ends < self.ends,
            TransferAction::Assign(cell) => self.may_assign(state, cell),
            TransferAction::SendTransfer(cell) => self.may_transfer(state, cell),
            TransferAction::ProcessCommit(cell) => state.owners[cell.index()].sent.is_some(),
            TransferAction::ReadRow(cell) => {
                let index = cell.index();
                state.owners[index].read_row.is_none() && store.rows[index].is_some()
            }
            TransferAction::HandleRow(cell) => state.owners[cell.index()].read_row.is_some(),
            TransferAction::LearnEnd(cell) => {
                let index = cell.index();
                store.is_cancelled[index] && !state.owners[index].has_learnt_end
            }
            TransferAction::SendEnd(cell) => {
                let owner = &state.owners[cell.index()];
                owner.has_learnt_end && owner.sent.is_none() && owner.view != TaskView::Ended
            }
        }
    }

    fn may_assign(self, state: &TransferState, cell: TransferCell) -> bool {
        let owner = &state.owners[cell.index()];
        let is_free = owner.sent.is_none() && !owner.is_half_transferred;
        let starts_early = self.mutation == Some(TransferMutation::StartWhileTransferred);
        owner.view == TaskView::Waiting
            && (is_free || starts_early)
            && !owner.has_learnt_end
            && !state.runs[cell.index()]
    }

    fn may_transfer(self, state: &TransferState, cell: TransferCell) -> bool {
        let owner = &state.owners[cell.index()];
        let is_left = owner.number < self.number_max;
        let is_second = owner.is_half_transferred;
        owner.view == TaskView::Waiting
            && owner.sent.is_none()
            && !owner.has_learnt_end
            && (is_left || is_second)
    }
}

impl ProtocolModel for TransferModel {
    type State = TransferState;
    type Action = TransferAction;

    fn initial_state(&self) -> TransferState {
        TransferState::default()
    }

    fn next_steps(&self, state: &TransferState) -> Vec<ModelStep<TransferState, TransferAction>> {
        let of_cells = TransferCell::ALL.into_iter().flat_map(|cell| {
            [
                TransferAction::Claim(cell),
                TransferAction::EndRun(cell),
                TransferAction::Assign(cell),
                TransferAction::SendTransfer(cell),
                TransferAction::ProcessCommit(cell),
                TransferAction::ReadRow(cell),
                TransferAction::HandleRow(cell),
                TransferAction::LearnEnd(cell),
                TransferAction::SendEnd(cell),
            ]
        });
        let others = [TransferAction::Cancel, TransferAction::ProcessLateCommit];
        let actions = of_cells.chain(others);
        let possible = actions.filter(|action| self.is_possible(state, *action));
        ModelStep::from_actions(state, possible, |next, action| {
            self.apply_action(next, action);
        })
    }

    fn broken_property(&self, state: &TransferState) -> Option<&'static str> {
        let is_cancelled = state.store.is_cancelled[0];
        if state.runs == [true, true] {
            return Some("a task runs in one cell at most");
        }
        (!is_cancelled && state.store.places() != 1).then_some("a task is in one cell")
    }

    fn is_fault(&self, action: &TransferAction) -> bool {
        matches!(
            action,
            TransferAction::Cancel
                | TransferAction::Claim(_)
                | TransferAction::EndRun(_)
                | TransferAction::ProcessLateCommit
        )
    }

    fn must_heal(&self, _state: &TransferState) -> bool {
        true
    }

    fn is_healed(&self, state: &TransferState) -> bool {
        if state.store.is_cancelled[0] {
            let has_row = state.store.rows[1].is_some() && !state.store.is_cancelled[1];
            return state.runs == [false, false] && !has_row;
        }
        state.runs != [false, false]
    }
}
