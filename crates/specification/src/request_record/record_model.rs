//! The record's protocol as a model.

use crate::model_step::ModelStep;
use crate::protocol_model::ProtocolModel;
use crate::request_record::entry_try::EntryTry;
use crate::request_record::record_action::RecordAction;
use crate::request_record::record_mutation::RecordMutation;
use crate::request_record::record_owner::RecordOwner;
use crate::request_record::record_state::OWNERS;
use crate::request_record::record_state::RecordState;
use crate::request_record::record_state::TRIES;
use crate::request_record::record_write::RecordWrite;
use crate::request_record::runner_call::RunnerCall;
use crate::request_record::try_phase::TryPhase;

/// One key, two tries of it and two owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordModel {
    /// Claims of the cell.
    pub claims: u8,
    /// The rule that is left out, if any.
    pub mutation: Option<RecordMutation>,
}

impl RecordModel {
    /// A model for every run of the tests.
    #[must_use]
    pub const fn small(mutation: Option<RecordMutation>) -> Self {
        Self {
            claims: 2,
            mutation,
        }
    }

    /// A model for a deeper search.
    #[must_use]
    pub const fn large(mutation: Option<RecordMutation>) -> Self {
        Self {
            claims: 6,
            mutation,
        }
    }

    fn owner_actions(self, state: &RecordState, owner: u8, actions: &mut Vec<RecordAction>) {
        let it = &state.owners[usize::from(owner)];
        if state.claims < self.claims && it.pending.is_none() {
            actions.push(RecordAction::Claim { owner });
        }
        if it.under_way.is_some() {
            actions.push(RecordAction::AnswerCommit { owner });
            actions.push(RecordAction::LoseAnswer { owner });
            actions.push(RecordAction::LoseCommit { owner });
        }
        if it.pending.is_some() {
            actions.push(RecordAction::ReadBack { owner });
        }
        if !it.believes || it.pending.is_some() || it.under_way.is_some() {
            return;
        }
        for (entry, asker) in (0..).zip(&state.tries) {
            if asker.phase != TryPhase::Idle {
                actions.push(RecordAction::HandleAsk { owner, entry });
            }
        }
    }

    fn entry_actions(self, it: EntryTry, entry: u8, actions: &mut Vec<RecordAction>) {
        match it.phase {
            TryPhase::Idle => actions.push(RecordAction::BeginTry { entry }),
            TryPhase::Asking => {
                if it.granted {
                    actions.push(RecordAction::ReceiveGrant { entry });
                }
                if it.refused {
                    actions.push(RecordAction::ReceiveRefusal { entry });
                }
                if self.mutation == Some(RecordMutation::SendBeforeRecord) {
                    actions.push(RecordAction::SendRequest { entry });
                }
                actions.push(RecordAction::GiveUp { entry });
            }
            TryPhase::Granted => {
                actions.push(RecordAction::SendRequest { entry });
                actions.push(RecordAction::Decline { entry });
            }
            TryPhase::Sent => {
                if it.call == RunnerCall::Ran {
                    actions.push(RecordAction::ReceiveAnswer { entry });
                }
                actions.push(RecordAction::GiveUp { entry });
            }
            TryPhase::Answered | TryPhase::ToldNotRun | TryPhase::ToldUnknown => {}
        }
        if it.call == RunnerCall::UnderWay {
            actions.push(RecordAction::Run { entry });
            actions.push(RecordAction::LoseRequest { entry });
        }
        if is_open(it) {
            actions.push(RecordAction::KillEntry { entry });
        }
    }

    fn apply_action(self, state: &mut RecordState, action: RecordAction) {
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

impl ProtocolModel for RecordModel {
    type State = RecordState;
    type Action = RecordAction;

    fn initial_state(&self) -> RecordState {
        let first = RecordOwner {
            believes: true,
            next: 1,
            ..RecordOwner::default()
        };
        RecordState {
            next: 1,
            owners: [first, RecordOwner::default()],
            ..RecordState::default()
        }
    }

    fn next_steps(&self, state: &RecordState) -> Vec<ModelStep<RecordState, RecordAction>> {
        let mut actions = Vec::new();
        for owner in (0..).take(OWNERS) {
            self.owner_actions(state, owner, &mut actions);
        }
        for (entry, it) in (0..).zip(&state.tries).take(TRIES) {
            self.entry_actions(*it, entry, &mut actions);
        }
        ModelStep::from_actions(state, actions, |next, action| {
            self.apply_action(next, action);
        })
    }

    fn broken_property(&self, state: &RecordState) -> Option<&'static str> {
        if state.runs > 1 {
            return Some("a request runs at most once");
        }
        let mut tries = state.tries.iter();
        let denied = tries.any(|it| it.phase == TryPhase::ToldNotRun);
        (denied && state.runs > 0).then_some("not run is true")
    }

    fn is_fault(&self, action: &RecordAction) -> bool {
        matches!(
            action,
            RecordAction::LoseAnswer { .. }
                | RecordAction::LoseCommit { .. }
                | RecordAction::LoseRequest { .. }
                | RecordAction::KillEntry { .. }
                | RecordAction::GiveUp { .. }
                | RecordAction::Decline { .. }
        )
    }

    fn must_heal(&self, state: &RecordState) -> bool {
        let mut tries = state.tries.iter();
        let sent = tries.any(|it| it.call == RunnerCall::UnderWay && it.phase == TryPhase::Sent);
        let asking = state.record.is_none() && state.claims < self.claims;
        sent || asking && state.tries.iter().any(|it| it.phase == TryPhase::Asking)
    }

    fn is_healed(&self, state: &RecordState) -> bool {
        let mut tries = state.tries.iter();
        tries.any(|it| it.phase == TryPhase::Answered)
    }
}

fn is_open(it: EntryTry) -> bool {
    matches!(
        it.phase,
        TryPhase::Asking | TryPhase::Granted | TryPhase::Sent
    )
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
