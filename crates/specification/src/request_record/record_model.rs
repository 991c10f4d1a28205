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
