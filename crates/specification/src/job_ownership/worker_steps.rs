//! Steps of the workers.

use crate::job_ownership::addressed_order::AddressedOrder;
use crate::job_ownership::assignment_state::AssignmentState;
use crate::job_ownership::job_bounds::LEASE_MAX_TICKS;
use crate::job_ownership::job_model::JobModel;
use crate::job_ownership::job_mutation::JobMutation;
use crate::job_ownership::job_state::JobState;
use crate::job_ownership::job_worker::JobWorker;
use crate::job_ownership::order_outcome::OrderOutcome;
use crate::job_ownership::poll_response::PollResponse;
use crate::job_ownership::worker_order::WorkerOrder;
use crate::job_ownership::worker_process::WorkerProcess;

/// Broken by a second run of the task while the first is running.
const ONE_WORKER: &str = "a task runs on one worker at most";
/// Broken by a run that starts after another one has completed the task.
const NO_START_AFTER_DONE: &str = "a done task never starts again";
/// Broken by a run that is not assigned in the store to the worker that starts it.
const START_AFTER_STORED: &str = "a start follows its stored assignment";
/// Broken by a completion that its worker may remove before the store has it.
const END_STORED_FIRST: &str = "an acknowledged end is stored";

impl JobModel {
    /// A worker handles an order. Rejects it if the worker has seen a higher epoch, or if
    /// another worker has its address.
    pub(super) fn process_order(self, state: &mut JobState, order: AddressedOrder) -> OrderOutcome {
        let AddressedOrder {
            worker: worker_number,
            process,
            epoch,
            order,
        } = order;
        let worker = &mut state.workers[usize::from(worker_number)];
        if worker.process == WorkerProcess::Stranger {
            return OrderOutcome::OtherIncarnation;
        }
        let is_meant = worker.process == process;
        let is_start = matches!(order, WorkerOrder::Start { .. });
        if is_start && !is_meant && !self.starts_on_any_connection() {
            return OrderOutcome::OtherIncarnation;
        }
        if epoch < worker.epoch && self.mutation != Some(JobMutation::NoEpochCheck) {
            return OrderOutcome::Fenced;
        }
        worker.epoch = worker.epoch.max(epoch);
        match order {
            WorkerOrder::Start { run, lease_end } => {
                start_run(state, worker_number, run, lease_end)
            }
            WorkerOrder::Stop { run } => {
                worker.refused_up_to = worker.refused_up_to.max(run);
                if worker.running == Some(run) {
                    worker.running = None;
                    worker.ends.push(run, false);
                }
                OrderOutcome::Accepted
            }
            WorkerOrder::Poll {
                lease_end,
                acknowledged_end,
            } => {
                if let Some(lease_end) = lease_end.filter(|_| is_meant) {
                    extend_lease(state, worker_number, lease_end);
                }
                if is_meant {
                    acknowledge_ends(state, worker_number, acknowledged_end);
                }
                OrderOutcome::Accepted
            }
        }
    }

    /// Whether a start may reach the next incarnation of its worker. The second of the
    /// mutations is about a rule that matters only then.
    const fn starts_on_any_connection(self) -> bool {
        matches!(
            self.mutation,
            Some(JobMutation::StartOnAnyConnection | JobMutation::OtherIncarnationEndsStart)
        )
    }

    /// Response of a worker to a poll that it handled with `outcome`.
    pub(super) fn respond_to_poll(
        state: &JobState,
        worker_number: u8,
        outcome: OrderOutcome,
    ) -> PollResponse {
        let worker = &state.workers[usize::from(worker_number)];
        PollResponse {
            running: worker.running,
            ends: worker.ends,
            clock: worker.clock(state.now),
            process: worker.process,
            outcome,
        }
    }

    /// Ends the runs of workers whose lease has expired.
    pub(super) fn end_leases(state: &mut JobState) {
        let now = state.now;
        for worker in &mut state.workers {
            if worker.lease_end >= worker.clock(now) {
                continue;
            }
            if let Some(run) = worker.running.take() {
                worker.ends.push(run, false);
                worker.refused_up_to = worker.refused_up_to.max(run);
            }
            worker.ends.update_all(|end| end.is_lapsed = true);
        }
    }

    /// The process at the address of a worker dies, and nothing of its runs is known any more.
    /// Another one takes the address.
    pub(super) fn replace_process(self, state: &mut JobState, worker_number: u8) {
        state.replacements -= 1;
        let worker = &mut state.workers[usize::from(worker_number)];
        *worker = JobWorker {
            process: worker.process.next(self.bounds.restarts),
            started_at: state.now,
            ..JobWorker::default()
        };
    }

    /// The run on a worker completes the task.
    pub(super) fn finish_run(state: &mut JobState, worker_number: u8) {
        let worker = &mut state.workers[usize::from(worker_number)];
        if let Some(run) = worker.running.take() {
            worker.ends.push(run, true);
            worker.refused_up_to = worker.refused_up_to.max(run);
        }
    }
}

fn start_run(state: &mut JobState, worker_number: u8, run: u8, lease_end: u8) -> OrderOutcome {
    extend_lease(state, worker_number, lease_end);
    let worker = &mut state.workers[usize::from(worker_number)];
    let now = worker.clock(state.now);
    if worker.running == Some(run) {
        return OrderOutcome::Accepted;
    }
    if lease_end < now || run <= worker.refused_up_to {
        return OrderOutcome::Refused;
    }
    if worker.running.is_some() {
        state.record_violation(ONE_WORKER);
        return OrderOutcome::Refused;
    }
    worker.running = Some(run);
    if state.runs_on_two_workers() {
        state.record_violation(ONE_WORKER);
    }
    if state.is_done_acknowledged {
        state.record_violation(NO_START_AFTER_DONE);
    }
    if state.assigned_workers[usize::from(run) - 1] != Some(worker_number) {
        state.record_violation(START_AFTER_STORED);
    }
    for worker in &mut state.workers {
        worker.ends.update_all(|end| end.is_followed = true);
    }
    OrderOutcome::Accepted
}

fn extend_lease(state: &mut JobState, worker_number: u8, lease_end: u8) {
    let worker = &mut state.workers[usize::from(worker_number)];
    let longest = worker.clock(state.now) + LEASE_MAX_TICKS;
    worker.lease_end = worker.lease_end.max(lease_end.min(longest));
}

fn acknowledge_ends(state: &mut JobState, worker_number: u8, last_end: u8) {
    let acknowledged = state.workers[usize::from(worker_number)]
        .ends
        .acknowledge(last_end);
    for end in acknowledged.into_iter().filter(|end| end.is_done) {
        if state.store.assignment.state != AssignmentState::Done {
            state.record_violation(END_STORED_FIRST);
        }
        if end.is_lapsed {
            continue;
        }
        state.is_done_acknowledged = true;
        if end.is_followed {
            state.record_violation(NO_START_AFTER_DONE);
        }
    }
}
