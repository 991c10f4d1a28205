//! What the steps of the transfer protocol change.

use crate::task_transfer::late_commit::LateCommit;
use crate::task_transfer::task_view::TaskView;
use crate::task_transfer::transfer_action::TransferAction;
use crate::task_transfer::transfer_cell::TransferCell;
use crate::task_transfer::transfer_commit::TransferCommit;
use crate::task_transfer::transfer_model::TransferModel;
use crate::task_transfer::transfer_mutation::TransferMutation;
use crate::task_transfer::transfer_owner::TransferOwner;
use crate::task_transfer::transfer_state::TransferState;

impl TransferModel {
    pub(super) fn apply_action(self, state: &mut TransferState, action: TransferAction) {
        match action {
            TransferAction::Cancel => state.store.is_cancelled[0] = true,
            TransferAction::Claim(cell) => claim(state, cell),
            TransferAction::EndRun(cell) => {
                let index = cell.index();
                state.runs[index] = false;
                state.ends += 1;
                let owner = &mut state.owners[index];
                if owner.view == TaskView::Assigned {
                    owner.view = TaskView::Waiting;
                }
            }
            TransferAction::Assign(cell) => {
                let owner = &mut state.owners[cell.index()];
                let number = owner.number + 1;
                if owner.sent.is_some() {
                    // Only in a mutation: the start does not wait for the transfer.
                    state.runs[cell.index()] = true;
                    return;
                }
                owner.sent = Some(TransferCommit::Assign { number });
            }
            TransferAction::SendTransfer(cell) => self.send_transfer(state, cell),
            TransferAction::ProcessCommit(cell) => self.process_commit(state, cell),
            TransferAction::ProcessLateCommit => {
                if let Some(late) = state.late.take() {
                    self.store_commit(state, late.cell, late.epoch, late.commit);
                }
            }
            TransferAction::ReadRow(cell) => {
                let index = cell.index();
                state.owners[index].read_row = state.store.rows[index];
            }
            TransferAction::HandleRow(cell) => {
                if let Some(number) = state.owners[cell.index()].read_row.take() {
                    self.take_row(&mut state.owners[cell.index()], number);
                }
            }
            TransferAction::LearnEnd(cell) => {
                let index = cell.index();
                state.owners[index].has_learnt_end = true;
                state.runs[index] = false;
            }
            TransferAction::SendEnd(cell) => self.send_end(state, cell),
        }
    }

    fn send_transfer(self, state: &mut TransferState, cell: TransferCell) {
        let owner = &mut state.owners[cell.index()];
        let number = owner.number + 1;
        let commit = match self.mutation {
            Some(TransferMutation::RecordFirst) if !owner.is_half_transferred => {
                TransferCommit::RecordTransfer { number }
            }
            Some(TransferMutation::RowFirst) if owner.is_half_transferred => {
                TransferCommit::RecordTransfer { number }
            }
            _ => TransferCommit::Transfer { number },
        };
        owner.sent = Some(commit);
    }

    fn send_end(self, state: &mut TransferState, cell: TransferCell) {
        let owner = &mut state.owners[cell.index()];
        let must_revoke = cell == TransferCell::Home && owner.view == TaskView::Elsewhere;
        let ends_first = self.mutation == Some(TransferMutation::EndBeforeRevocation);
        owner.sent = Some(if must_revoke && !owner.has_revoked && !ends_first {
            TransferCommit::Revoke
        } else {
            TransferCommit::End
        });
    }

    /// Takes the task by a row, unless the owner knows of a later run or transfer.
    fn take_row(self, owner: &mut TransferOwner, number: u8) {
        let is_ignored = self.mutation == Some(TransferMutation::NumberIgnored);
        let is_new = number > owner.number || is_ignored;
        if owner.view == TaskView::Elsewhere && is_new && !owner.has_learnt_end {
            owner.view = TaskView::Waiting;
            owner.number = owner.number.max(number);
        }
    }

    /// Applies the commit of an owner, which learns the result at once.
    fn process_commit(self, state: &mut TransferState, cell: TransferCell) {
        let index = cell.index();
        let Some(commit) = state.owners[index].sent.take() else {
            return;
        };
        let epoch = state.owners[index].epoch;
        if !self.store_commit(state, cell, epoch, commit) {
            return;
        }
        let owner = &mut state.owners[index];
        match commit {
            TransferCommit::Assign { number } => {
                owner.number = number;
                if !owner.has_learnt_end {
                    owner.view = TaskView::Assigned;
                    state.runs[index] = true;
                }
            }
            TransferCommit::Transfer { number } => {
                let is_first =
                    self.mutation == Some(TransferMutation::RowFirst) && !owner.is_half_transferred;
                owner.is_half_transferred = is_first;
                if !is_first {
                    owner.number = number;
                    owner.view = TaskView::Elsewhere;
                }
            }
            TransferCommit::RecordTransfer { number } => {
                let is_first = self.mutation == Some(TransferMutation::RecordFirst);
                owner.is_half_transferred = is_first;
                if !is_first {
                    owner.number = number;
                    owner.view = TaskView::Elsewhere;
                }
            }
            TransferCommit::Revoke => owner.has_revoked = true,
            TransferCommit::End => owner.view = TaskView::Ended,
        }
    }

    /// Applies a commit, unless another owner has claimed the cell or, for a transfer, the job
    /// was cancelled there. Returns whether it was applied.
    fn store_commit(
        self,
        state: &mut TransferState,
        cell: TransferCell,
        epoch: u8,
        commit: TransferCommit,
    ) -> bool {
        let (index, other) = (cell.index(), 1 - cell.index());
        let store = &mut state.store;
        let has_head = store.epochs[index] == epoch;
        if !has_head && self.mutation != Some(TransferMutation::NoHeadGuard) {
            return false;
        }
        let is_cancelled = store.is_cancelled[index];
        match commit {
            TransferCommit::Assign { number } => {
                store.records[index] = TaskView::Assigned;
                store.numbers[index] = number;
                // The row that brought the task home is removed once the record covers it.
                if cell == TransferCell::Home {
                    store.rows[index] = None;
                }
            }
            TransferCommit::Transfer { .. } | TransferCommit::RecordTransfer { .. }
                if is_cancelled =>
            {
                return false;
            }
            TransferCommit::Transfer { number } => {
                store.rows[other] = Some(number);
                if self.mutation != Some(TransferMutation::RowFirst) {
                    store.records[index] = TaskView::Elsewhere;
                    store.numbers[index] = number;
                    store.rows[index] = None;
                }
            }
            TransferCommit::RecordTransfer { number } => {
                store.records[index] = TaskView::Elsewhere;
                store.numbers[index] = number;
                store.rows[index] = None;
            }
            TransferCommit::Revoke => store.is_cancelled[other] = true,
            TransferCommit::End => store.records[index] = TaskView::Ended,
        }
        true
    }
}

/// Replaces the owner of a cell by one that reads the store. What the former one has sent may
/// still arrive.
fn claim(state: &mut TransferState, cell: TransferCell) {
    let index = cell.index();
    let former = state.owners[index];
    if let Some(commit) = former.sent {
        state.late = Some(LateCommit {
            cell,
            epoch: former.epoch,
            commit,
        });
    }
    let store = &mut state.store;
    store.epochs[index] += 1;
    let record = store.records[index];
    let mut owner = TransferOwner {
        epoch: store.epochs[index],
        view: match record {
            TaskView::Assigned if !state.runs[index] => TaskView::Waiting,
            view => view,
        },
        number: store.numbers[index],
        has_learnt_end: record == TaskView::Ended,
        ..TransferOwner::default()
    };
    let row = store.rows[index].filter(|row| *row > owner.number);
    if let Some(number) = row.filter(|_| owner.view == TaskView::Elsewhere) {
        owner.view = TaskView::Waiting;
        owner.number = number;
    }
    state.owners[index] = owner;
}
