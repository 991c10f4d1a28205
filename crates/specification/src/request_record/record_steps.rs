//! Effects of the steps of the record protocol.

use crate::request_record::attempt_phase::AttemptPhase;
use crate::request_record::call_state::CallState;
use crate::request_record::record_action::RecordAction;
use crate::request_record::record_model::RecordModel;
use crate::request_record::record_mutation::RecordMutation;
use crate::request_record::record_state::RecordState;
use crate::request_record::record_write::RecordWrite;

impl RecordModel {
    pub(super) fn apply_action(self, state: &mut RecordState, action: RecordAction) {
        match action {
            RecordAction::HandleRecordRequest { owner, attempt } => {
                self.handle_record_request(state, owner, attempt);
            }
            RecordAction::AnswerCommit { owner } => answer_commit(state, owner),
            RecordAction::LoseAnswer { owner } => {
                process_commit(state, owner);
            }
            RecordAction::LoseCommit { owner } => state.owner_mut(owner).in_flight_write = None,
            RecordAction::ReadBack { owner } => read_journal(state, owner),
            RecordAction::Claim { owner } => self.claim_cell(state, owner),
            RecordAction::GiveUp { attempt } => self.give_up(state, attempt),
            RecordAction::ExecuteRequest { attempt } => {
                state.runs += 1;
                state.attempt_mut(attempt).call = CallState::Executed;
            }
            _ => apply_attempt_action(state, action),
        }
    }

    fn claim_cell(self, state: &mut RecordState, owner: u8) {
        state.claims += 1;
        state.next_sequence += 1;
        state.owner = owner;
        read_journal(state, owner);
        let claimant = state.owner_mut(owner);
        if self.mutation == Some(RecordMutation::RecordsForgotten) {
            claimant.record_holder = None;
        }
    }

    fn handle_record_request(self, state: &mut RecordState, owner: u8, attempt: u8) {
        let owner_state = state.owner_mut(owner);
        let Some(holder) = owner_state.record_holder else {
            let sequence = owner_state.next_sequence;
            owner_state.pending_write = Some(RecordWrite { sequence, attempt });
            owner_state.in_flight_write = owner_state.pending_write;
            return;
        };
        let skips_check = self.mutation == Some(RecordMutation::GrantToAll);
        let requester = state.attempt_mut(attempt);
        if holder == attempt || skips_check {
            requester.granted = true;
        } else {
            requester.refused = true;
        }
    }

    fn give_up(self, state: &mut RecordState, attempt: u8) {
        let may_retry = state.retries == 0;
        let attempt_state = state.attempt_mut(attempt);
        let retries_unknown = self.mutation == Some(RecordMutation::UnknownRetried) && may_retry;
        let unsent = attempt_state.phase == AttemptPhase::AwaitingRecord;
        if attempt_state.phase == AttemptPhase::Sent
            && retries_unknown
            && attempt_state.call != CallState::InFlight
        {
            attempt_state.call = CallState::InFlight;
            state.retries += 1;
        } else if unsent && self.mutation == Some(RecordMutation::NotRunWithoutRecord) {
            attempt_state.phase = AttemptPhase::ReportedNotRun;
        } else {
            attempt_state.phase = AttemptPhase::ReportedUnknown;
        }
    }
}

fn apply_attempt_action(state: &mut RecordState, action: RecordAction) {
    match action {
        RecordAction::BeginAttempt { attempt } => {
            state.attempt_mut(attempt).phase = AttemptPhase::AwaitingRecord;
        }
        RecordAction::ReceiveGrant { attempt } => {
            state.attempt_mut(attempt).phase = AttemptPhase::Granted;
        }
        RecordAction::ReceiveRefusal { attempt } | RecordAction::KillEntryDaemon { attempt } => {
            state.attempt_mut(attempt).phase = AttemptPhase::ReportedUnknown;
        }
        RecordAction::SendRequest { attempt } => {
            let attempt_state = state.attempt_mut(attempt);
            attempt_state.phase = AttemptPhase::Sent;
            attempt_state.call = CallState::InFlight;
        }
        RecordAction::Decline { attempt } => {
            state.attempt_mut(attempt).phase = AttemptPhase::ReportedNotRun;
        }
        RecordAction::LoseRequest { attempt } => {
            state.attempt_mut(attempt).call = CallState::Closed;
        }
        RecordAction::ReceiveAnswer { attempt } => {
            let attempt_state = state.attempt_mut(attempt);
            attempt_state.phase = AttemptPhase::Answered;
            attempt_state.call = CallState::Closed;
        }
        _ => unreachable!("{action:?} is not an action of an attempt"),
    }
}

/// The store applies the owner's commit if its sequence number is free. Returns the
/// commit if it was applied.
fn process_commit(state: &mut RecordState, owner: u8) -> Option<RecordWrite> {
    let next_sequence = state.next_sequence;
    let write = state.owner_mut(owner).in_flight_write.take()?;
    if write.sequence != next_sequence {
        return None;
    }
    state.next_sequence += 1;
    state.record_holder = Some(write.attempt);
    Some(write)
}

fn answer_commit(state: &mut RecordState, owner: u8) {
    let is_waiting = state.owner_mut(owner).pending_write.is_some();
    let applied = process_commit(state, owner);
    if !is_waiting {
        return;
    }
    read_journal(state, owner);
    if let Some(write) = applied {
        state.attempt_mut(write.attempt).granted = true;
    }
}

fn read_journal(state: &mut RecordState, owner: u8) {
    let next_sequence = state.next_sequence;
    let record_holder = state.record_holder;
    let believes_owner = state.owner == owner;
    let reader = state.owner_mut(owner);
    reader.believes_owner = believes_owner;
    reader.next_sequence = next_sequence;
    reader.record_holder = record_holder;
    reader.pending_write = None;
}
