//! Steps of an owner other than polls.

use crate::job_ownership::assignment_state::AssignmentState;
use crate::job_ownership::commit_batch::CommitBatch;
use crate::job_ownership::job_bounds::WORKERS;
use crate::job_ownership::job_daemon::JobDaemon;
use crate::job_ownership::job_model::JobModel;
use crate::job_ownership::job_mutation::JobMutation;
use crate::job_ownership::job_state::JobState;
use crate::job_ownership::lease_bound::LeaseBound;
use crate::job_ownership::order_call::OrderCall;
use crate::job_ownership::order_outcome::OrderOutcome;
use crate::job_ownership::run_state::RunState;
use crate::job_ownership::tracked_run::TrackedRun;
use crate::job_ownership::worker_order::WorkerOrder;

impl JobModel {
    /// The owner assigns the next run of the task to a worker.
    pub(super) fn assign_run(self, state: &mut JobState, daemon: u8, worker: u8) {
        let owner = &mut state.daemons[usize::from(daemon)];
        owner.assignment.run += 1;
        owner.assignment.state = AssignmentState::Assigned(worker);
        owner.has_unsent_change = true;
        owner.run = Some(TrackedRun {
            worker,
            run: owner.assignment.run,
            state: RunState::Planned,
        });
        if self.mutation == Some(JobMutation::StartBeforeStored) {
            self.send_start(state, daemon);
        }
    }

    /// The owner sends its decisions to the store as a batch.
    pub(super) fn send_batch(self, state: &mut JobState, daemon: u8) {
        let sent_at = state.clock_of(daemon);
        let lease_bounds = lease_bounds(state, daemon);
        let owner = &mut state.daemons[usize::from(daemon)];
        let is_planned = |run: TrackedRun| run.state == RunState::Planned;
        owner.batch = Some(CommitBatch {
            assignment: owner.assignment,
            defers_start: owner.run.is_some_and(is_planned),
            received_ends: owner.workers.map(|tracked| tracked.received_end),
            lease_bounds,
            sent_at,
            is_stored: None,
        });
        owner.has_unsent_change = false;
        if self.mutation == Some(JobMutation::GrantBeforeUnlisted) {
            for (tracked, bound) in owner.workers.iter_mut().zip(lease_bounds) {
                tracked.is_listed &= bound.is_listed();
            }
        }
    }

    /// The owner receives the result of its batch. If the batch was rejected, it is no
    /// longer the owner; if it was stored, the planned run can be started.
    pub(super) fn receive_batch_result(self, state: &mut JobState, daemon: u8) {
        let now = state.clock_of(daemon);
        let owner = &mut state.daemons[usize::from(daemon)];
        let Some(batch) = owner.batch.take() else {
            return;
        };
        if batch.is_stored == Some(false) {
            *owner = owner.deposed();
            return;
        }
        let counts_from_answer = self.mutation == Some(JobMutation::AuthorityFromAnswer);
        owner.authority_start = if counts_from_answer {
            now
        } else {
            batch.sent_at
        };
        for (tracked, received_end) in owner.workers.iter_mut().zip(batch.received_ends) {
            tracked.stored_end = received_end;
        }
        for (tracked, bound) in owner.workers.iter_mut().zip(batch.lease_bounds) {
            tracked.is_listed =
                bound.is_listed() && self.mutation != Some(JobMutation::GrantToListed);
        }
        let is_planned = |run: TrackedRun| run.state == RunState::Planned;
        if batch.defers_start && owner.run.is_some_and(is_planned) {
            self.send_start(state, daemon);
        }
    }

    /// The owner receives the outcome of its start order.
    pub(super) fn receive_start_outcome(state: &mut JobState, daemon: u8) {
        let owner = &mut state.daemons[usize::from(daemon)];
        let Some(call) = owner.start_call.take() else {
            return;
        };
        let Some(run) = owner.run.as_mut().filter(|run| is_for_run(**run, call)) else {
            return;
        };
        match call.outcome {
            Some(OrderOutcome::Accepted) if run.state == RunState::Starting => {
                run.state = RunState::Running;
            }
            Some(OrderOutcome::Refused | OrderOutcome::OtherIncarnation) => owner.settle_run(),
            Some(OrderOutcome::Fenced) => *owner = owner.deposed(),
            _ => {}
        }
    }

    /// The owner got no answer to its start order, so the run may start at any time. It
    /// must be stopped before the owner can draw conclusions about it.
    pub(super) fn mark_start_uncertain(self, owner: &mut JobDaemon, call: OrderCall) {
        let Some(run) = owner.run.as_mut().filter(|run| is_for_run(**run, call)) else {
            return;
        };
        if run.state != RunState::Starting {
            return;
        }
        match self.mutation {
            Some(JobMutation::SilenceAsProof) => owner.settle_run(),
            Some(JobMutation::NoStopBeforeLook) => run.state = RunState::Running,
            _ => run.state = RunState::StopPending,
        }
    }

    /// The owner orders the worker of its tracked run to end the run.
    pub(super) fn send_stop(state: &mut JobState, daemon: u8) {
        let owner = &mut state.daemons[usize::from(daemon)];
        owner.stop_call = owner.run.map(|run| OrderCall {
            worker: run.worker,
            process: owner.workers[usize::from(run.worker)].process,
            order: WorkerOrder::Stop { run: run.run },
            outcome: None,
        });
    }

    /// The owner receives the outcome of its stop order.
    pub(super) fn receive_stop_outcome(state: &mut JobState, daemon: u8) {
        let owner = &mut state.daemons[usize::from(daemon)];
        let Some(call) = owner.stop_call.take() else {
            return;
        };
        if call.outcome == Some(OrderOutcome::Fenced) {
            *owner = owner.deposed();
            return;
        }
        if call.outcome != Some(OrderOutcome::OtherIncarnation)
            && let Some(run) = owner.run.as_mut().filter(|run| is_for_run(**run, call))
            && run.state == RunState::StopPending
        {
            run.state = RunState::Stopping;
        }
    }

    /// Sends the start order of the planned run, or withdraws the run if no lease can be
    /// granted or another start is in flight.
    fn send_start(self, state: &mut JobState, daemon: u8) {
        let Some(run) = state.daemons[usize::from(daemon)].run else {
            return;
        };
        let lease_end = self.next_lease_end(state, daemon, run.worker);
        let owner = &mut state.daemons[usize::from(daemon)];
        let Some(lease_end) = lease_end.filter(|_| owner.start_call.is_none()) else {
            owner.settle_run();
            return;
        };
        let tracked = &mut owner.workers[usize::from(run.worker)];
        tracked.lease_end = tracked.lease_end.max(lease_end);
        let process = tracked.process;
        owner.run = Some(TrackedRun {
            state: RunState::Starting,
            ..run
        });
        owner.start_call = Some(OrderCall {
            worker: run.worker,
            process,
            order: WorkerOrder::Start {
                run: run.run,
                lease_end,
            },
            outcome: None,
        });
    }
}

fn is_for_run(run: TrackedRun, call: OrderCall) -> bool {
    let run_number = match call.order {
        WorkerOrder::Start { run, .. } | WorkerOrder::Stop { run } => run,
        WorkerOrder::Poll { .. } => return false,
    };
    (run.worker, run.run) == (call.worker, run_number)
}

/// Bounds for the leases of the workers, as a batch carries them that the owner sends now. It
/// lists the workers that get no leases.
fn lease_bounds(state: &JobState, daemon: u8) -> [LeaseBound; WORKERS] {
    let owner = &state.daemons[usize::from(daemon)];
    let now = state.clock_of(daemon);
    let mut bounds = [LeaseBound::MayBeGranted; WORKERS];
    for (worker, bound) in (0..).zip(&mut bounds) {
        let tracked = &owner.workers[usize::from(worker)];
        if tracked.is_usable() {
            continue;
        }
        let left = if tracked.has_responded {
            (tracked.lease_end + 1).saturating_sub(state.worker_clock(daemon, worker))
        } else {
            owner.inherited_ends[usize::from(worker)].saturating_sub(now)
        };
        *bound = LeaseBound::Listed { left };
    }
    bounds
}
