//! Steps of polls, and the owner's conclusions about workers.

use crate::job_ownership::addressed_order::AddressedOrder;
use crate::job_ownership::job_bounds::AUTHORITY_TICKS;
use crate::job_ownership::job_bounds::LEASE_MAX_TICKS;
use crate::job_ownership::job_bounds::LEASE_TICKS;
use crate::job_ownership::job_daemon::JobDaemon;
use crate::job_ownership::job_model::JobModel;
use crate::job_ownership::job_mutation::JobMutation;
use crate::job_ownership::job_state::JobState;
use crate::job_ownership::order_call::OrderCall;
use crate::job_ownership::order_outcome::OrderOutcome;
use crate::job_ownership::poll_call::PollCall;
use crate::job_ownership::poll_response::PollResponse;
use crate::job_ownership::run_state::RunState;
use crate::job_ownership::tracked_worker::TrackedWorker;
use crate::job_ownership::worker_order::WorkerOrder;

impl JobModel {
    /// The owner sends a poll, which extends the leases if the worker answered the last one.
    pub(super) fn send_poll(self, state: &mut JobState, daemon: u8, worker: u8) {
        let lease_end = self.next_lease_end(state, daemon, worker);
        let owner = &mut state.daemons[usize::from(daemon)];
        let covers_run = owner
            .run
            .is_some_and(|run| run.worker == worker && (self.is_settled_by_poll(run.state)));
        let tracked = &mut owner.workers[usize::from(worker)];
        let lease_end = lease_end.filter(|_| !tracked.is_unresponsive);
        tracked.lease_end = tracked.lease_end.max(lease_end.unwrap_or_default());
        let acknowledged_end = self.acknowledgeable_end(*tracked);
        tracked.acknowledged_end = acknowledged_end;
        let process = tracked.process;
        owner.poll_call = Some(PollCall {
            worker,
            process,
            order: WorkerOrder::Poll {
                lease_end,
                acknowledged_end,
            },
            covers_run,
            response: None,
        });
    }

    /// Number of the latest end that may be acknowledged to a worker.
    pub(super) fn acknowledgeable_end(self, tracked: TrackedWorker) -> u8 {
        match self.mutation {
            Some(JobMutation::NotedBeforeStored) => tracked.received_end,
            _ => tracked.stored_end,
        }
    }

    fn is_settled_by_poll(self, run_state: RunState) -> bool {
        match run_state {
            RunState::Running | RunState::Inherited | RunState::Stopping => true,
            RunState::Starting => self.mutation == Some(JobMutation::EarlierLookAsProof),
            RunState::Planned | RunState::StopPending => false,
        }
    }

    /// The owner receives the response to its poll.
    pub(super) fn receive_poll_response(self, state: &mut JobState, daemon: u8) {
        let now = state.now;
        let own_clock = state.clock_of(daemon);
        let owner = &mut state.daemons[usize::from(daemon)];
        let Some(call) = owner.poll_call.take() else {
            return;
        };
        let worker = call.worker;
        let Some(response) = call.response else {
            return;
        };
        if response.outcome == OrderOutcome::Fenced {
            *owner = owner.deposed();
            return;
        }
        if response.outcome == OrderOutcome::OtherIncarnation {
            self.handle_other_incarnation(state, daemon, call);
            return;
        }
        let inherited_left = owner.inherited_ends[usize::from(worker)].saturating_sub(own_clock);
        let has_no_run = owner.run.is_none_or(|run| run.worker != worker);
        let tracked = &mut owner.workers[usize::from(worker)];
        let is_new = !tracked.has_responded && has_no_run;
        let is_replaced = tracked.replace_process(response.process);
        if is_replaced && let Some(batch) = &mut owner.batch {
            batch.received_ends[usize::from(worker)] = 0;
        }
        let lease_left = if self.mutation == Some(JobMutation::NoInheritedLease) {
            0
        } else if is_new || !is_replaced {
            inherited_left.min(LEASE_MAX_TICKS)
        } else {
            LEASE_MAX_TICKS
        };
        tracked.update_clock(response.clock, lease_left, now);
        let last_received = tracked.received_end;
        tracked.received_end = last_received.max(response.ends.latest);
        owner.has_unsent_change |= tracked.received_end > last_received;
        for end in response.ends.after(last_received) {
            self.apply_end(owner, worker, end.run, end.is_done);
        }
        apply_running(owner, worker, &response);
        if let Some(run) = owner.run
            && call.covers_run
            && run.worker == worker
            && self.is_settled_by_poll(run.state)
            && response.running != Some(run.run)
        {
            owner.settle_run();
        }
    }

    /// The owner learns that the incarnation to which it sent a poll is over, and with it the
    /// run that this incarnation must have known when the poll was sent.
    fn handle_other_incarnation(self, state: &mut JobState, daemon: u8, call: PollCall) {
        let owner = &mut state.daemons[usize::from(daemon)];
        owner.workers[usize::from(call.worker)].is_unresponsive = true;
        let Some(run) = owner.run.filter(|run| run.worker == call.worker) else {
            return;
        };
        let is_ignored = self.mutation == Some(JobMutation::OtherIncarnationIgnored);
        if call.covers_run && self.is_settled_by_poll(run.state) && !is_ignored {
            owner.settle_run();
        }
        if self.mutation == Some(JobMutation::OtherIncarnationEndsStart)
            && run.state == RunState::Starting
        {
            owner.settle_run();
            Self::abandon_start(state, daemon);
        }
    }

    /// The owner no longer waits for the outcome of its start order, which may still arrive.
    fn abandon_start(state: &mut JobState, daemon: u8) {
        let owner = &mut state.daemons[usize::from(daemon)];
        let Some(call) = owner.start_call.take() else {
            return;
        };
        if call.outcome.is_none() {
            state.late_orders.insert(AddressedOrder {
                worker: call.worker,
                process: call.process,
                epoch: owner.epoch,
                order: call.order,
            });
        }
    }

    fn apply_end(self, owner: &mut JobDaemon, worker: u8, run: u8, is_done: bool) {
        let is_known = owner
            .run
            .is_some_and(|tracked| (tracked.worker, tracked.run) == (worker, run));
        if is_known {
            owner.settle_run();
        }
        let is_earlier = !is_known && run <= owner.assignment.run;
        let counts_earlier = self.mutation != Some(JobMutation::EarlierEndIgnored);
        if is_done && (is_known || (is_earlier && counts_earlier)) {
            owner.finish_task();
        }
    }

    /// Whether the owner may conclude that the lease of its tracked run has expired. For a
    /// worker that never responded, that is when every lease of the earlier owners
    /// has expired.
    pub(super) fn may_assume_expired(self, state: &JobState, daemon: u8) -> bool {
        let owner = &state.daemons[usize::from(daemon)];
        let Some(run) = owner.run else {
            return false;
        };
        if matches!(run.state, RunState::Planned | RunState::Starting) {
            return false;
        }
        let tracked = &owner.workers[usize::from(run.worker)];
        if tracked.has_responded {
            let is_over = state.worker_clock(daemon, run.worker) > tracked.lease_end;
            is_over || (self.mutation == Some(JobMutation::NoLapseWait) && tracked.is_unresponsive)
        } else {
            let inherited_end = owner.inherited_ends[usize::from(run.worker)];
            let is_over = state.clock_of(daemon) >= inherited_end;
            is_over || self.mutation == Some(JobMutation::NoInheritedWait)
        }
    }

    /// The owner concludes that the lease of its tracked run has expired.
    pub(super) fn assume_expired(state: &mut JobState, daemon: u8) {
        state.daemons[usize::from(daemon)].settle_run();
    }

    /// End of a lease granted now, on the worker's clock. `None` if the owner cannot be sure
    /// to be the owner for long enough, if it does not know the worker's clock, or if the
    /// worker is listed.
    pub(super) fn next_lease_end(self, state: &JobState, daemon: u8, worker: u8) -> Option<u8> {
        let owner = &state.daemons[usize::from(daemon)];
        let is_granted = match self.mutation {
            Some(JobMutation::GrantToListed | JobMutation::GrantWhileListing) => {
                !owner.workers[usize::from(worker)].is_listed
            }
            _ => owner.may_grant(worker),
        };
        if !is_granted || !owner.workers[usize::from(worker)].has_responded {
            return None;
        }
        let authority_end = owner.authority_start + AUTHORITY_TICKS;
        let left = authority_end.saturating_sub(state.clock_of(daemon));
        (left > 0).then(|| state.worker_clock(daemon, worker) + left.min(LEASE_TICKS))
    }
}

fn apply_running(owner: &mut JobDaemon, worker: u8, response: &PollResponse) {
    let Some(run_number) = response.running else {
        return;
    };
    let process = owner.workers[usize::from(worker)].process;
    let tracked = owner.run.as_mut();
    let tracked = tracked.filter(|run| (run.worker, run.run) == (worker, run_number));
    match tracked {
        Some(run) => {
            if matches!(run.state, RunState::Inherited | RunState::Starting) {
                run.state = RunState::Running;
            }
        }
        None if owner.stop_call.is_none() => {
            owner.stop_call = Some(OrderCall {
                worker,
                process,
                order: WorkerOrder::Stop { run: run_number },
                outcome: None,
            });
        }
        None => {}
    }
}
