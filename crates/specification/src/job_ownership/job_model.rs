//! Model of the job protocol.

use crate::job_ownership::assignment_state::AssignmentState;
use crate::job_ownership::job_action::JobAction;
use crate::job_ownership::job_bounds::JobBounds;
use crate::job_ownership::job_daemon::JobDaemon;
use crate::job_ownership::job_mutation::JobMutation;
use crate::job_ownership::job_state::JobState;
use crate::model_step::ModelStep;
use crate::protocol_model::ProtocolModel;

/// Model with one task, two workers, three daemons that own the jobs in turn, and the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobModel {
    /// Bounds of the search.
    pub bounds: JobBounds,
    /// The rule that is left out; `None` for the complete protocol.
    pub mutation: Option<JobMutation>,
}

impl JobModel {
    fn apply_action(self, state: &mut JobState, action: JobAction) {
        match action {
            JobAction::Tick => pass_tick(state),
            JobAction::Suspend { daemon } => {
                pass_tick(state);
                state.daemons[usize::from(daemon)].delay_clock();
            }
            JobAction::ReadHead { daemon } => Self::read_head(state, daemon),
            JobAction::EndDaemon { daemon } => {
                state.daemons[usize::from(daemon)] = JobDaemon::default();
            }
            JobAction::Claim { daemon } => self.claim(state, daemon),
            JobAction::AssignRun { daemon, worker } => self.assign_run(state, daemon, worker),
            JobAction::SendBatch { daemon } => self.send_batch(state, daemon),
            JobAction::ProcessBatch { daemon } => self.process_batch(state, daemon),
            JobAction::ReceiveBatchResult { daemon } => self.receive_batch_result(state, daemon),
            JobAction::DeliverStart { daemon } => {
                self.deliver_call(state, daemon, |owner| &mut owner.start_call);
            }
            JobAction::ReceiveStartOutcome { daemon } => Self::receive_start_outcome(state, daemon),
            JobAction::GiveUpStart { daemon } => {
                self.give_up_call(state, daemon, |owner| &mut owner.start_call);
            }
            JobAction::SendStop { daemon } => Self::send_stop(state, daemon),
            JobAction::DeliverStop { daemon } => {
                self.deliver_call(state, daemon, |owner| &mut owner.stop_call);
            }
            JobAction::ReceiveStopOutcome { daemon } => Self::receive_stop_outcome(state, daemon),
            JobAction::GiveUpStop { daemon } => {
                self.give_up_call(state, daemon, |owner| &mut owner.stop_call);
            }
            JobAction::SendPoll { daemon, worker } => self.send_poll(state, daemon, worker),
            JobAction::DeliverPoll { daemon } => self.deliver_poll(state, daemon),
            JobAction::ReceivePollResponse { daemon } => self.receive_poll_response(state, daemon),
            JobAction::GiveUpPoll { daemon } => Self::give_up_poll(state, daemon),
            JobAction::AssumeLeaseExpired { daemon } => Self::assume_expired(state, daemon),
            JobAction::DeliverLateOrder { index } => {
                if let Some(order) = state.late_orders.iter().nth(usize::from(index)) {
                    state.late_orders.remove(&order);
                    self.process_order(state, order);
                }
            }
            JobAction::ReplaceProcess { worker } => self.replace_process(state, worker),
            JobAction::FinishRun { worker } => Self::finish_run(state, worker),
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
        JobState::initial(self.bounds)
    }

    fn next_steps(&self, state: &JobState) -> Vec<ModelStep<JobState, JobAction>> {
        let actions = self.possible_actions(state);
        ModelStep::from_actions(state, actions, |next, action| {
            self.apply_action(next, action);
        })
    }

    fn broken_property(&self, state: &JobState) -> Option<&'static str> {
        state.violation
    }

    fn is_fault(&self, action: &JobAction) -> bool {
        matches!(
            action,
            JobAction::Tick
                | JobAction::Suspend { .. }
                | JobAction::ReadHead { .. }
                | JobAction::EndDaemon { .. }
                | JobAction::Claim { .. }
                | JobAction::ReplaceProcess { .. }
                | JobAction::GiveUpStart { .. }
                | JobAction::GiveUpStop { .. }
                | JobAction::GiveUpPoll { .. }
                | JobAction::DeliverLateOrder { .. }
        )
    }

    fn must_heal(&self, state: &JobState) -> bool {
        let owners = state.daemons.iter();
        let mut runs = owners.map(|owner| owner.assignment.run);
        let has_runs = runs.all(|run| run < self.bounds.runs);
        // Only a claim, which counts as a fault, replaces an owner that has ended.
        let has_owner = state
            .daemons
            .iter()
            .any(|owner| owner.epoch == state.store.epoch);
        has_runs && (has_owner || !self.bounds.owners_end) && !self.bounds.reach.is_partitioned()
    }

    fn is_healed(&self, state: &JobState) -> bool {
        state.store.assignment.state == AssignmentState::Done
    }
}
