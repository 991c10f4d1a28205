//! Model of the record protocol.

use crate::model_step::ModelStep;
use crate::protocol_model::ProtocolModel;
use crate::request_record::attempt_phase::AttemptPhase;
use crate::request_record::call_state::CallState;
use crate::request_record::caller_attempt::CallerAttempt;
use crate::request_record::record_action::RecordAction;
use crate::request_record::record_mutation::RecordMutation;
use crate::request_record::record_owner::RecordOwner;
use crate::request_record::record_state::ATTEMPTS;
use crate::request_record::record_state::OWNERS;
use crate::request_record::record_state::RecordState;

/// Model with one key, two attempts and two daemons that may own the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordModel {
    /// Maximum number of claims of the cell.
    pub claims: u8,
    /// The rule that is left out; `None` for the complete protocol.
    pub mutation: Option<RecordMutation>,
}

impl RecordModel {
    /// Bounds that every run of the tests covers.
    #[must_use]
    pub const fn small(mutation: Option<RecordMutation>) -> Self {
        Self {
            claims: 2,
            mutation,
        }
    }

    /// Larger bounds, for a longer search.
    #[must_use]
    pub const fn large(mutation: Option<RecordMutation>) -> Self {
        Self {
            claims: 6,
            mutation,
        }
    }

    fn owner_actions(self, state: &RecordState, owner: u8, actions: &mut Vec<RecordAction>) {
        let owner_state = &state.owners[usize::from(owner)];
        if state.claims < self.claims && owner_state.pending_write.is_none() {
            actions.push(RecordAction::Claim { owner });
        }
        if owner_state.in_flight_write.is_some() {
            actions.push(RecordAction::AnswerCommit { owner });
            actions.push(RecordAction::LoseAnswer { owner });
            actions.push(RecordAction::LoseCommit { owner });
        }
        if owner_state.pending_write.is_some() {
            actions.push(RecordAction::ReadBack { owner });
        }
        if !owner_state.believes_owner
            || owner_state.pending_write.is_some()
            || owner_state.in_flight_write.is_some()
        {
            return;
        }
        for (attempt, requester) in (0..).zip(&state.attempts) {
            if requester.phase != AttemptPhase::Idle {
                actions.push(RecordAction::HandleRecordRequest { owner, attempt });
            }
        }
    }

    fn attempt_actions(
        self,
        attempt_state: CallerAttempt,
        attempt: u8,
        actions: &mut Vec<RecordAction>,
    ) {
        match attempt_state.phase {
            AttemptPhase::Idle => actions.push(RecordAction::BeginAttempt { attempt }),
            AttemptPhase::AwaitingRecord => {
                if attempt_state.granted {
                    actions.push(RecordAction::ReceiveGrant { attempt });
                }
                if attempt_state.refused {
                    actions.push(RecordAction::ReceiveRefusal { attempt });
                }
                if self.mutation == Some(RecordMutation::SendBeforeRecord) {
                    actions.push(RecordAction::SendRequest { attempt });
                }
                actions.push(RecordAction::GiveUp { attempt });
            }
            AttemptPhase::Granted => {
                actions.push(RecordAction::SendRequest { attempt });
                actions.push(RecordAction::Decline { attempt });
            }
            AttemptPhase::Sent => {
                if attempt_state.call == CallState::Executed {
                    actions.push(RecordAction::ReceiveAnswer { attempt });
                }
                actions.push(RecordAction::GiveUp { attempt });
            }
            AttemptPhase::Answered
            | AttemptPhase::ReportedNotRun
            | AttemptPhase::ReportedUnknown => {}
        }
        if attempt_state.call == CallState::InFlight {
            actions.push(RecordAction::ExecuteRequest { attempt });
            actions.push(RecordAction::LoseRequest { attempt });
        }
        if is_open(attempt_state) {
            actions.push(RecordAction::KillEntryDaemon { attempt });
        }
    }
}

impl ProtocolModel for RecordModel {
    type State = RecordState;
    type Action = RecordAction;

    fn initial_state(&self) -> RecordState {
        let first = RecordOwner {
            believes_owner: true,
            next_sequence: 1,
            ..RecordOwner::default()
        };
        RecordState {
            next_sequence: 1,
            owners: [first, RecordOwner::default()],
            ..RecordState::default()
        }
    }

    fn next_steps(&self, state: &RecordState) -> Vec<ModelStep<RecordState, RecordAction>> {
        let mut actions = Vec::new();
        for owner in (0..).take(OWNERS) {
            self.owner_actions(state, owner, &mut actions);
        }
        for (attempt, attempt_state) in (0..).zip(&state.attempts).take(ATTEMPTS) {
            self.attempt_actions(*attempt_state, attempt, &mut actions);
        }
        ModelStep::from_actions(state, actions, |next, action| {
            self.apply_action(next, action);
        })
    }

    fn broken_property(&self, state: &RecordState) -> Option<&'static str> {
        if state.runs > 1 {
            return Some("a request runs at most once");
        }
        let mut attempts = state.attempts.iter();
        let not_run_reported =
            attempts.any(|attempt| attempt.phase == AttemptPhase::ReportedNotRun);
        (not_run_reported && state.runs > 0).then_some("a not-run report is correct")
    }

    fn is_fault(&self, action: &RecordAction) -> bool {
        matches!(
            action,
            RecordAction::LoseAnswer { .. }
                | RecordAction::LoseCommit { .. }
                | RecordAction::LoseRequest { .. }
                | RecordAction::KillEntryDaemon { .. }
                | RecordAction::GiveUp { .. }
                | RecordAction::Decline { .. }
        )
    }

    fn must_heal(&self, state: &RecordState) -> bool {
        let mut attempts = state.attempts.iter();
        let request_in_flight = attempts.any(|attempt| {
            attempt.call == CallState::InFlight && attempt.phase == AttemptPhase::Sent
        });
        let can_obtain_record = state.record_holder.is_none() && state.claims < self.claims;
        request_in_flight
            || can_obtain_record
                && state
                    .attempts
                    .iter()
                    .any(|attempt| attempt.phase == AttemptPhase::AwaitingRecord)
    }

    fn is_healed(&self, state: &RecordState) -> bool {
        let mut attempts = state.attempts.iter();
        attempts.any(|attempt| attempt.phase == AttemptPhase::Answered)
    }
}

fn is_open(attempt: CallerAttempt) -> bool {
    matches!(
        attempt.phase,
        AttemptPhase::AwaitingRecord | AttemptPhase::Granted | AttemptPhase::Sent
    )
}
