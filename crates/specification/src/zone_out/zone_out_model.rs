//! Model of the zone's protocol.

use crate::model_step::ModelStep;
use crate::protocol_model::ProtocolModel;
use crate::zone_out::batch_commit::BatchCommit;
use crate::zone_out::held_permit::HeldPermit;
use crate::zone_out::zone_out_action::ZoneOutAction;
use crate::zone_out::zone_out_mutation::ZoneOutMutation;
use crate::zone_out::zone_out_state::ZoneOutState;

/// Model with one zone, one worker, one owner and the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneOutModel {
    /// Maximum number of times that the zone is taken out or put back.
    pub changes: u8,
    /// Maximum age of a permit that the worker accepts, in ticks.
    pub permit_age_max: u8,
    /// The rule that is left out; `None` for the complete protocol.
    pub mutation: Option<ZoneOutMutation>,
}

impl ZoneOutModel {
    /// Bounds that every run of the tests covers.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_specification::ZoneOutModel;
    ///
    /// assert_eq!(ZoneOutModel::small(None).changes, 4);
    /// ```
    #[must_use]
    pub const fn small(mutation: Option<ZoneOutMutation>) -> Self {
        Self {
            changes: 4,
            permit_age_max: 3,
            mutation,
        }
    }

    /// Larger bounds, for a longer search.
    #[must_use]
    pub const fn large(mutation: Option<ZoneOutMutation>) -> Self {
        Self {
            changes: 9,
            permit_age_max: 8,
            mutation,
        }
    }

    fn is_possible(self, state: &ZoneOutState, action: ZoneOutAction) -> bool {
        match action {
            ZoneOutAction::ChangeZone => state.revision < self.changes,
            ZoneOutAction::Tick | ZoneOutAction::GrantPermit => true,
            ZoneOutAction::ReceivePermit => state.granted_permit.is_some(),
            ZoneOutAction::LearnRevision => state.known_revision < state.revision,
            ZoneOutAction::SendCommit => {
                let zone_serves = !ZoneOutState::is_out_at(state.known_revision);
                zone_serves && state.permit.is_some() && state.sent_commit.is_none()
            }
            ZoneOutAction::ProcessCommit => {
                state.sent_commit.is_some() && state.committed_batch.is_none()
            }
            ZoneOutAction::SendStart => {
                state.committed_batch.is_some() && state.start_permit.is_none()
            }
            ZoneOutAction::DeliverStart | ZoneOutAction::LoseStart => state.start_permit.is_some(),
        }
    }

    fn apply_action(self, state: &mut ZoneOutState, action: ZoneOutAction) {
        match action {
            ZoneOutAction::ChangeZone => {
                state.revision += 1;
                state.ticks_since_out = 0;
            }
            ZoneOutAction::Tick => {
                let limit = self.permit_age_max + 1;
                state.permit_age = (state.permit_age + 1).min(limit);
                if ZoneOutState::is_out_at(state.revision) {
                    state.ticks_since_out = (state.ticks_since_out + 1).min(limit);
                }
            }
            ZoneOutAction::GrantPermit => {
                state.void_permits();
                state.permit_age = 0;
                state.granted_permit = Some(HeldPermit::Latest);
            }
            ZoneOutAction::ReceivePermit => state.permit = state.granted_permit.take(),
            ZoneOutAction::LearnRevision => state.known_revision = state.revision,
            ZoneOutAction::SendCommit => {
                let revision = state.known_revision;
                state.sent_commit = state.permit.map(|permit| BatchCommit { permit, revision });
            }
            ZoneOutAction::ProcessCommit => self.process_commit(state),
            ZoneOutAction::SendStart => {
                let batch = state.committed_batch.take();
                state.start_permit = batch.map(|batch| batch.permit);
                if self.mutation == Some(ZoneOutMutation::PermitAfterCommit) {
                    state.start_permit = state.permit;
                }
            }
            ZoneOutAction::DeliverStart => self.deliver_start(state),
            ZoneOutAction::LoseStart => state.start_permit = None,
        }
    }

    fn process_commit(self, state: &mut ZoneOutState) {
        let batch = state.sent_commit.take();
        let skips_check = self.mutation == Some(ZoneOutMutation::NoRevisionCheck);
        state.committed_batch =
            batch.filter(|batch| skips_check || batch.revision == state.revision);
    }

    fn deliver_start(self, state: &mut ZoneOutState) {
        let skips_check = self.mutation == Some(ZoneOutMutation::NoAgeCheck);
        let fresh = skips_check || state.permit_age <= self.permit_age_max;
        if state.start_permit != Some(HeldPermit::Latest) || !fresh {
            state.start_permit = None;
            return;
        }
        state.started = true;
        state.started_late |= state.ticks_since_out > self.permit_age_max;
    }
}

const ACTIONS: [ZoneOutAction; 10] = [
    ZoneOutAction::ChangeZone,
    ZoneOutAction::Tick,
    ZoneOutAction::GrantPermit,
    ZoneOutAction::ReceivePermit,
    ZoneOutAction::LearnRevision,
    ZoneOutAction::SendCommit,
    ZoneOutAction::ProcessCommit,
    ZoneOutAction::SendStart,
    ZoneOutAction::DeliverStart,
    ZoneOutAction::LoseStart,
];

impl ProtocolModel for ZoneOutModel {
    type State = ZoneOutState;
    type Action = ZoneOutAction;

    fn initial_state(&self) -> ZoneOutState {
        ZoneOutState::default()
    }

    fn next_steps(&self, state: &ZoneOutState) -> Vec<ModelStep<ZoneOutState, ZoneOutAction>> {
        let possible = ACTIONS.into_iter();
        let possible = possible.filter(|action| self.is_possible(state, *action));
        ModelStep::from_actions(state, possible, |next, action| {
            self.apply_action(next, action);
        })
    }

    fn broken_property(&self, state: &ZoneOutState) -> Option<&'static str> {
        let is_late = state.started_late;
        is_late.then_some("no start later than the permit age after the zone went out")
    }

    fn is_fault(&self, action: &ZoneOutAction) -> bool {
        matches!(
            action,
            ZoneOutAction::ChangeZone | ZoneOutAction::LoseStart | ZoneOutAction::Tick
        )
    }

    fn must_heal(&self, state: &ZoneOutState) -> bool {
        !ZoneOutState::is_out_at(state.revision)
    }

    fn is_healed(&self, state: &ZoneOutState) -> bool {
        state.started
    }
}
