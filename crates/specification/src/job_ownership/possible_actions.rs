//! Actions that are possible in a state.

use crate::job_ownership::assignment_state::AssignmentState;
use crate::job_ownership::job_action::JobAction;
use crate::job_ownership::job_bounds::DAEMONS;
use crate::job_ownership::job_bounds::WORKERS;
use crate::job_ownership::job_model::JobModel;
use crate::job_ownership::job_mutation::JobMutation;
use crate::job_ownership::job_state::JobState;
use crate::job_ownership::run_state::RunState;

impl JobModel {
    /// All actions that are possible in `state`.
    pub(super) fn possible_actions(self, state: &JobState) -> Vec<JobAction> {
        let mut actions = Vec::new();
        self.common_actions(state, &mut actions);
        for daemon in (0..).take(DAEMONS) {
            self.daemon_actions(state, daemon, &mut actions);
        }
        actions
    }

    fn common_actions(self, state: &JobState, actions: &mut Vec<JobAction>) {
        if state.now < self.bounds.ticks {
            actions.push(JobAction::Tick);
        }
        for (worker, worker_state) in (0..).zip(&state.workers) {
            if worker_state.running.is_some() && !self.bounds.reach.is_partitioned() {
                actions.push(JobAction::FinishRun { worker });
            }
        }
        if state.replacements > 0 {
            actions.push(JobAction::ReplaceProcess { worker: 0 });
        }
        let late_orders = (0..).take(state.late_orders.len());
        actions.extend(late_orders.map(|index| JobAction::DeliverLateOrder { index }));
    }

    fn daemon_actions(self, state: &JobState, daemon: u8, actions: &mut Vec<JobAction>) {
        let owner = &state.daemons[usize::from(daemon)];
        if self.mutation == Some(JobMutation::ClockStandsStill) && state.now < self.bounds.ticks {
            actions.push(JobAction::Suspend { daemon });
        }
        // A process that owns again knows as little as a new one, so the daemons claim in the
        // order of their numbers.
        if state.claims > 0 && daemon == state.store.epoch {
            let has_owner = state.daemons[usize::from(daemon) - 1].epoch > 0;
            if owner.read_at.is_none() && state.now < self.bounds.ticks {
                actions.push(JobAction::ReadHead { daemon });
            }
            if !self.bounds.owners_end || !has_owner {
                actions.push(JobAction::Claim { daemon });
            }
        }
        if owner.epoch == 0 {
            return;
        }
        if self.bounds.owners_end && state.claims > 0 {
            actions.push(JobAction::EndDaemon { daemon });
        }
        actions.extend(Self::batch_action(state, daemon));
        let is_stop_pending = owner
            .run
            .is_some_and(|run| run.state == RunState::StopPending);
        if is_stop_pending && owner.stop_call.is_none() {
            actions.push(JobAction::SendStop { daemon });
        }
        Self::call_actions(state, daemon, actions);
        if self.may_assume_expired(state, daemon) {
            actions.push(JobAction::AssumeLeaseExpired { daemon });
        }
        let is_reachable = |worker: &u8| self.bounds.reach.includes(daemon, *worker);
        for worker in (0..).take(WORKERS).filter(is_reachable) {
            self.worker_actions(state, daemon, worker, actions);
        }
    }

    fn call_actions(state: &JobState, daemon: u8, actions: &mut Vec<JobAction>) {
        let owner = &state.daemons[usize::from(daemon)];
        let may_lose = state.losses > 0;
        if let Some(call) = owner.start_call {
            actions.push(match call.outcome {
                None => JobAction::DeliverStart { daemon },
                Some(_) => JobAction::ReceiveStartOutcome { daemon },
            });
            if may_lose {
                actions.push(JobAction::GiveUpStart { daemon });
            }
        }
        if let Some(call) = owner.stop_call {
            actions.push(match call.outcome {
                None => JobAction::DeliverStop { daemon },
                Some(_) => JobAction::ReceiveStopOutcome { daemon },
            });
            if may_lose {
                actions.push(JobAction::GiveUpStop { daemon });
            }
        }
        if let Some(call) = owner.poll_call {
            actions.push(match call.response {
                None => JobAction::DeliverPoll { daemon },
                Some(_) => JobAction::ReceivePollResponse { daemon },
            });
            if may_lose {
                actions.push(JobAction::GiveUpPoll { daemon });
            }
        }
    }

    fn batch_action(state: &JobState, daemon: u8) -> Option<JobAction> {
        let owner = &state.daemons[usize::from(daemon)];
        let is_due = owner.has_unsent_change
            || owner.has_worker_to_unlist()
            || (state.claims > 0 && owner.has_worker_to_list())
            || owner.authority_start < state.clock_of(daemon);
        match owner.batch {
            None => is_due.then_some(JobAction::SendBatch { daemon }),
            Some(batch) if batch.is_stored.is_none() => Some(JobAction::ProcessBatch { daemon }),
            Some(_) => Some(JobAction::ReceiveBatchResult { daemon }),
        }
    }

    fn worker_actions(
        self,
        state: &JobState,
        daemon: u8,
        worker: u8,
        actions: &mut Vec<JobAction>,
    ) {
        let owner = &state.daemons[usize::from(daemon)];
        let tracked = &owner.workers[usize::from(worker)];
        let is_waiting = owner.assignment.state == AssignmentState::Waiting;
        let has_runs = owner.assignment.run < self.bounds.runs;
        // The workers are interchangeable before the first run if none is replaced, so
        // assigning it to the first one is enough then.
        let is_distinct = owner.assignment.run > 0 || self.bounds.replacements > 0;
        let is_candidate = worker == 0 || is_distinct;
        if is_waiting && has_runs && tracked.is_usable() && is_candidate && owner.run.is_none() {
            actions.push(JobAction::AssignRun { daemon, worker });
        }
        let tracks_run = owner
            .run
            .is_some_and(|run| run.worker == worker && run.state != RunState::Planned);
        let has_new_end = self.acknowledgeable_end(*tracked) > tracked.acknowledged_end;
        let is_due = !tracked.has_responded || tracked.is_unresponsive || tracks_run || has_new_end;
        if owner.poll_call.is_none() && is_due {
            actions.push(JobAction::SendPoll { daemon, worker });
        }
    }
}
