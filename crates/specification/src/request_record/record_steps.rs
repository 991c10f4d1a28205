//! What each action does to the state of the record's protocol.

use crate::request_record::record_action::RecordAction;
use crate::request_record::record_model::RecordModel;
use crate::request_record::record_mutation::RecordMutation;
use crate::request_record::record_state::RecordState;
use crate::request_record::record_write::RecordWrite;
use crate::request_record::runner_call::RunnerCall;
use crate::request_record::try_phase::TryPhase;

impl RecordModel {
    pub(super) fn apply_action(self, state: &mut RecordState, action: RecordAction) {
        match action {
            RecordAction::HandleAsk { owner, entry } => self.handle_ask(state, owner, entry),
            RecordAction::AnswerCommit { owner } => answer_commit(state, owner),
            RecordAction::LoseAnswer { owner } => {
                land_commit(state, owner);
            }
            RecordAction::LoseCommit { owner } => state.owner_mut(owner).under_way = None,
            RecordAction::ReadBack { owner } => read_journal(state, owner),
            RecordAction::Claim { owner } => self.claim_cell(state, owner),
            RecordAction::GiveUp { entry } => self.give_up(state, entry),
            RecordAction::Run { entry } => {
                state.runs += 1;
                state.entry_mut(entry).call = RunnerCall::Ran;
            }
            _ => apply_entry_action(state, action),
        }
    }

    fn claim_cell(self, state: &mut RecordState, owner: u8) {
        state.claims += 1;
        state.next += 1;
        state.owner = owner;
        read_journal(state, owner);
        let claimant = state.owner_mut(owner);
        if self.mutation == Some(RecordMutation::RecordsForgotten) {
            claimant.record = None;
        }
    }

    fn handle_ask(self, state: &mut RecordState, owner: u8, entry: u8) {
        let it = state.owner_mut(owner);
        let Some(holder) = it.record else {
            let sequence = it.next;
            it.pending = Some(RecordWrite { sequence, entry });
            it.under_way = it.pending;
            return;
        };
        let careless = self.mutation == Some(RecordMutation::GrantToAll);
        let asker = state.entry_mut(entry);
        if holder == entry || careless {
            asker.granted = true;
        } else {
            asker.refused = true;
        }
    }

    fn give_up(self, state: &mut RecordState, entry: u8) {
        let may_retry = state.retries == 0;
        let it = state.entry_mut(entry);
        let retried = self.mutation == Some(RecordMutation::UnknownRetried) && may_retry;
        let unsent = it.phase == TryPhase::Asking;
        if it.phase == TryPhase::Sent && retried && it.call != RunnerCall::UnderWay {
            it.call = RunnerCall::UnderWay;
            state.retries += 1;
        } else if unsent && self.mutation == Some(RecordMutation::NotRunWithoutRecord) {
            it.phase = TryPhase::ToldNotRun;
        } else {
            it.phase = TryPhase::ToldUnknown;
        }
    }
}

fn apply_entry_action(state: &mut RecordState, action: RecordAction) {
    match action {
        RecordAction::BeginTry { entry } => state.entry_mut(entry).phase = TryPhase::Asking,
        RecordAction::ReceiveGrant { entry } => state.entry_mut(entry).phase = TryPhase::Granted,
        RecordAction::ReceiveRefusal { entry } | RecordAction::KillEntry { entry } => {
            state.entry_mut(entry).phase = TryPhase::ToldUnknown;
        }
        RecordAction::SendRequest { entry } => {
            let it = state.entry_mut(entry);
            it.phase = TryPhase::Sent;
            it.call = RunnerCall::UnderWay;
        }
        RecordAction::Decline { entry } => state.entry_mut(entry).phase = TryPhase::ToldNotRun,
        RecordAction::LoseRequest { entry } => state.entry_mut(entry).call = RunnerCall::Over,
        RecordAction::ReceiveAnswer { entry } => {
            let it = state.entry_mut(entry);
            it.phase = TryPhase::Answered;
            it.call = RunnerCall::Over;
        }
        _ => unreachable!("{action:?} is no step of an entry daemon"),
    }
}

/// The store carries out the owner's commit when its number is free.
fn land_commit(state: &mut RecordState, owner: u8) -> Option<RecordWrite> {
    let next = state.next;
    let write = state.owner_mut(owner).under_way.take()?;
    if write.sequence != next {
        return None;
    }
    state.next += 1;
    state.record = Some(write.entry);
    Some(write)
}

fn answer_commit(state: &mut RecordState, owner: u8) {
    let waiting = state.owner_mut(owner).pending.is_some();
    let landed = land_commit(state, owner);
    if !waiting {
        return;
    }
    read_journal(state, owner);
    if let Some(write) = landed {
        state.entry_mut(write.entry).granted = true;
    }
}

fn read_journal(state: &mut RecordState, owner: u8) {
    let next = state.next;
    let record = state.record;
    let believes = state.owner == owner;
    let reader = state.owner_mut(owner);
    reader.believes = believes;
    reader.next = next;
    reader.record = record;
    reader.pending = None;
}
