//! Steps of the workers, and of a daemon that receives a report.

use crate::cell_ownership::ownership_model::OwnershipModel;
use crate::cell_ownership::ownership_mutation::OwnershipMutation;
use crate::cell_ownership::ownership_state::OwnershipState;
use crate::cell_ownership::process_id::ProcessId;
use crate::cell_ownership::worker_message::WorkerMessage;
use crate::cell_ownership::worker_state::WorkerState;
use crate::cell_ownership::worker_task::WorkerTask;

impl OwnershipModel {
    /// The receiver handles `message`.
    pub(crate) fn deliver_message(&self, state: &mut OwnershipState, message: WorkerMessage) {
        match message {
            WorkerMessage::Renewal {
                worker,
                sender,
                epoch,
                settled,
            } => self.renew_session(state, worker, sender, epoch, settled),
            WorkerMessage::Report {
                worker,
                receiver,
                epoch,
                permit,
                task,
            } => {
                let owner = state.live_daemon(receiver).map(|daemon| daemon.view);
                let is_current =
                    owner.is_some_and(|view| view.epoch == epoch && view.is_owned_by(receiver));
                if is_current {
                    self.receive_report(state, receiver.daemon, worker, permit, task);
                }
            }
            WorkerMessage::Start {
                worker,
                epoch,
                permit,
                attempt,
            } => self.start_task(state, worker, epoch, permit, attempt),
            WorkerMessage::Stop {
                worker,
                epoch,
                attempt,
            } => self.stop_task(state, worker, epoch, attempt),
        }
    }

    /// Whether `message` can no longer have any effect, so that it can be removed.
    pub(crate) fn is_obsolete(&self, state: &OwnershipState, message: WorkerMessage) -> bool {
        let worker = *state.worker(message.worker());
        let fenced = |epoch| !self.passes_fence(worker, epoch) && state.budget.worker_restarts == 0;
        match message {
            WorkerMessage::Renewal { epoch, .. } => !worker.alive || fenced(epoch),
            WorkerMessage::Report {
                worker,
                receiver,
                epoch,
                permit,
                ..
            } => {
                let daemon = state.daemon(receiver.daemon);
                let is_outdated = permit < daemon.permits[usize::from(worker)];
                let is_current = daemon.is_owner(receiver.daemon)
                    && daemon.incarnation == receiver.incarnation
                    && daemon.view.epoch == epoch;
                !is_current || is_outdated && self.mutation.is_none()
            }
            WorkerMessage::Start {
                epoch,
                permit,
                attempt,
                ..
            } => {
                let is_blocked = blocks_start(worker.task, attempt) && self.mutation.is_none();
                !worker.alive
                    || fenced(epoch)
                    || is_blocked
                    || !self.is_valid_permit(worker, permit)
            }
            WorkerMessage::Stop { epoch, attempt, .. } => {
                let is_over = state.journal.task.attempt > attempt;
                !worker.alive || fenced(epoch) || is_over && self.mutation.is_none()
            }
        }
    }

    fn passes_fence(&self, worker: WorkerState, epoch: u8) -> bool {
        self.mutation == Some(OwnershipMutation::NoEpochCheck) || epoch >= worker.epoch
    }

    fn is_valid_permit(&self, worker: WorkerState, permit: u8) -> bool {
        if self.mutation == Some(OwnershipMutation::OldPermitsGood) {
            return worker.permit_valid && permit <= worker.permit;
        }
        worker.permit_valid && permit == worker.permit
    }

    fn renew_session(
        &self,
        state: &mut OwnershipState,
        worker_number: u8,
        sender: ProcessId,
        epoch: u8,
        settled: u8,
    ) {
        let worker = *state.worker(worker_number);
        if !worker.alive || !self.passes_fence(worker, epoch) {
            return;
        }
        check_fence(state, worker_number, epoch);
        let worker = state.worker_mut(worker_number);
        worker.epoch = worker.epoch.max(epoch);
        worker.permit += 1;
        worker.permit_valid = true;
        worker.task = worker.task.forget(settled);
        let report = WorkerMessage::Report {
            worker: worker_number,
            receiver: sender,
            epoch,
            permit: worker.permit,
            task: worker.task,
        };
        if state.messages.len() < usize::from(self.bounds.messages) {
            state.messages.insert(report);
        }
    }

    fn start_task(
        &self,
        state: &mut OwnershipState,
        worker_number: u8,
        epoch: u8,
        permit: u8,
        attempt: u8,
    ) {
        let worker = *state.worker(worker_number);
        let fenced = !worker.alive || !self.passes_fence(worker, epoch);
        if fenced || !self.is_valid_permit(worker, permit) || blocks_start(worker.task, attempt) {
            return;
        }
        check_fence(state, worker_number, epoch);
        check_start(state, worker_number, attempt);
        state.worker_mut(worker_number).task = WorkerTask::Running(attempt);
    }

    fn stop_task(&self, state: &mut OwnershipState, worker_number: u8, epoch: u8, attempt: u8) {
        let worker = *state.worker(worker_number);
        let fenced = !worker.alive || !self.passes_fence(worker, epoch);
        if fenced || worker.task != WorkerTask::Running(attempt) || state.budget.stops == 0 {
            return;
        }
        check_fence(state, worker_number, epoch);
        state.budget.stops -= 1;
        state.worker_mut(worker_number).task = WorkerTask::Stopped(attempt);
    }
}

/// Whether a worker with `task` ignores a start of `attempt`: it runs an attempt, or that
/// attempt has ended there.
fn blocks_start(task: WorkerTask, attempt: u8) -> bool {
    match task {
        WorkerTask::Empty => false,
        WorkerTask::Running(_) => true,
        WorkerTask::Finished(ended) | WorkerTask::Stopped(ended) => ended == attempt,
    }
}

fn check_fence(state: &mut OwnershipState, worker: u8, epoch: u8) {
    if epoch < state.worker(worker).epoch {
        state.violation = Some("a former owner has no effect");
    }
}

fn check_start(state: &mut OwnershipState, worker: u8, attempt: u8) {
    let index = usize::from(attempt);
    if state.committed_workers[index] != worker + 1 {
        state.violation = Some("a start follows its commit");
    }
    if state.started_attempts[index..].contains(&true) {
        state.violation = Some("each attempt starts once, in order");
    }
    state.started_attempts[index] = true;
}
