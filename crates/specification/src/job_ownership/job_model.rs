//! The owner's protocol as a model.

use crate::job_ownership::assigned_phase::AssignedPhase;
use crate::job_ownership::job_action::JobAction;
use crate::job_ownership::job_bounds::JobBounds;
use crate::job_ownership::job_mutation::JobMutation;
use crate::job_ownership::job_state::JobState;
use crate::model_step::ModelStep;
use crate::protocol_model::ProtocolModel;

/// One task, two workers, two daemons and the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobModel {
    /// How much may happen.
    pub bounds: JobBounds,
    /// The rule that is left out, if any.
    pub mutation: Option<JobMutation>,
}

impl JobModel {
    fn apply_action(self, state: &mut JobState, action: JobAction) {
        match action {
            JobAction::Tick => pass_tick(state),
            JobAction::Suspend { daemon } => {
                pass_tick(state);
                state.daemons[usize::from(daemon)].stand_still();
            }
            JobAction::Claim { daemon } => Self::claim(state, daemon),
            JobAction::Plan { daemon, worker } => self.plan_run(state, daemon, worker),
            JobAction::SendBatch { daemon } => Self::send_batch(state, daemon),
            JobAction::LandBatch { daemon } => self.land_batch(state, daemon),
            JobAction::HearBatch { daemon } => self.hear_batch(state, daemon),
            JobAction::DeliverStart { daemon } => {
                self.deliver_call(state, daemon, |owner| &mut owner.start);
            }
            JobAction::HearStart { daemon } => Self::hear_start(state, daemon),
            JobAction::GiveUpStart { daemon } => {
                self.give_up_call(state, daemon, |owner| &mut owner.start);
            }
            JobAction::SendStop { daemon } => Self::send_stop(state, daemon),
            JobAction::DeliverStop { daemon } => {
                self.deliver_call(state, daemon, |owner| &mut owner.stop);
            }
            JobAction::HearStop { daemon } => Self::hear_stop(state, daemon),
            JobAction::GiveUpStop { daemon } => {
                self.give_up_call(state, daemon, |owner| &mut owner.stop);
            }
            JobAction::SendLook { daemon, worker } => self.send_look(state, daemon, worker),
            JobAction::DeliverLook { daemon } => self.deliver_look(state, daemon),
            JobAction::HearLook { daemon } => self.hear_look(state, daemon),
            JobAction::GiveUpLook { daemon } => Self::give_up_look(state, daemon),
            JobAction::TakeForLapsed { daemon } => Self::take_for_lapsed(state, daemon),
            JobAction::DeliverLate { place } => {
                if let Some(order) = state.late.iter().nth(usize::from(place)) {
                    state.late.remove(&order);
                    self.take_order(state, order);
                }
            }
            JobAction::Finish { worker } => Self::finish_run(state, worker),
        }
    }
}

fn pass_tick(state: &mut JobState) {
    state.now += 1;
    JobModel::end_leases(state);
}

impl ProtocolModel for JobModel {
    type State = JobState;
    type Action = JobAction;

    fn initial_state(&self) -> JobState {
        JobState::first(self.bounds)
    }

    fn next_steps(&self, state: &JobState) -> Vec<ModelStep<JobState, JobAction>> {
        let actions = self.possible_actions(state);
        ModelStep::from_actions(state, actions, |next, action| {
            self.apply_action(next, action);
        })
    }

    fn broken_property(&self, state: &JobState) -> Option<&'static str> {
        state.broken
    }

    fn is_fault(&self, action: &JobAction) -> bool {
        matches!(
            action,
            JobAction::Tick
                | JobAction::Suspend { .. }
                | JobAction::Claim { .. }
                | JobAction::GiveUpStart { .. }
                | JobAction::GiveUpStop { .. }
                | JobAction::GiveUpLook { .. }
                | JobAction::DeliverLate { .. }
        )
    }

    fn must_heal(&self, state: &JobState) -> bool {
        let owners = state.daemons.iter();
        let mut runs = owners.map(|owner| owner.assignment.run);
        let has_runs = runs.all(|run| run < self.bounds.runs);
        has_runs && !self.bounds.is_cut
    }

    fn is_healed(&self, state: &JobState) -> bool {
        state.store.assignment.phase == AssignedPhase::Done
    }
}
