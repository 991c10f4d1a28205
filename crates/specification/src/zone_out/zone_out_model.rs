//! The zone's protocol as a model.

use crate::model_step::ModelStep;
use crate::protocol_model::ProtocolModel;
use crate::zone_out::batch_commit::BatchCommit;
use crate::zone_out::held_permit::HeldPermit;
use crate::zone_out::zone_out_action::ZoneOutAction;
use crate::zone_out::zone_out_mutation::ZoneOutMutation;
use crate::zone_out::zone_out_state::ZoneOutState;

/// One zone, one worker, one owner and the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneOutModel {
    /// How often the zone leaves or returns.
    pub changes: u8,
    /// The oldest permit that the worker takes, in ticks.
    pub permit_age_max: u8,
    /// The rule that is left out, if any.
    pub mutation: Option<ZoneOutMutation>,
}

impl ZoneOutModel {
    /// A model for every run of the tests.
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

    /// A model for a deeper search.
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
            ZoneOutAction::Tick | ZoneOutAction::GivePermit => true,
            ZoneOutAction::ReceivePermit => state.report.is_some(),
            ZoneOutAction::LearnRevision => state.known_revision < state.revision,
            ZoneOutAction::SendCommit => {
                let decided = !ZoneOutState::is_out_at(state.known_revision);
                decided && state.permit.is_some() && state.sent.is_none()
            }
            ZoneOutAction::LandCommit => state.sent.is_some() && state.committed.is_none(),
            ZoneOutAction::SendStart => state.committed.is_some() && state.start.is_none(),
            ZoneOutAction::DeliverStart | ZoneOutAction::LoseStart => state.start.is_some(),
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
            ZoneOutAction::GivePermit => {
                state.void_permits();
                state.permit_age = 0;
                state.report = Some(HeldPermit::Latest);
            }
            ZoneOutAction::ReceivePermit => state.permit = state.report.take(),
            ZoneOutAction::LearnRevision => state.known_revision = state.revision,
            ZoneOutAction::SendCommit => {
                let revision = state.known_revision;
                state.sent = state.permit.map(|permit| BatchCommit { permit, revision });
            }
            ZoneOutAction::LandCommit => self.land_commit(state),
            ZoneOutAction::SendStart => {
                let batch = state.committed.take();
                state.start = batch.map(|batch| batch.permit);
                if self.mutation == Some(ZoneOutMutation::PermitAfterCommit) {
                    state.start = state.permit;
                }
            }
            ZoneOutAction::DeliverStart => self.deliver_start(state),
            ZoneOutAction::LoseStart => state.start = None,
        }
    }

    fn land_commit(self, state: &mut ZoneOutState) {
        let batch = state.sent.take();
        let careless = self.mutation == Some(ZoneOutMutation::NoRevisionCheck);
        state.committed = batch.filter(|batch| careless || batch.revision == state.revision);
    }

    fn deliver_start(self, state: &mut ZoneOutState) {
        let careless = self.mutation == Some(ZoneOutMutation::NoAgeCheck);
        let fresh = careless || state.permit_age <= self.permit_age_max;
        if state.start != Some(HeldPermit::Latest) || !fresh {
            state.start = None;
            return;
        }
        state.started = true;
        state.started_late |= state.ticks_since_out > self.permit_age_max;
    }
}

const ACTIONS: [ZoneOutAction; 10] = [
    ZoneOutAction::ChangeZone,
    ZoneOutAction::Tick,
    ZoneOutAction::GivePermit,
    ZoneOutAction::ReceivePermit,
    ZoneOutAction::LearnRevision,
    ZoneOutAction::SendCommit,
    ZoneOutAction::LandCommit,
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
        let late = state.started_late;
        late.then_some("no start later than the permit age after the zone went out")
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
