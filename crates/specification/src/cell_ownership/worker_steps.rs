//! What workers do.

use crate::cell_ownership::ownership_model::OwnershipModel;
use crate::cell_ownership::ownership_mutation::OwnershipMutation;
use crate::cell_ownership::ownership_state::OwnershipState;
use crate::cell_ownership::process_id::ProcessId;
use crate::cell_ownership::task_slot::TaskSlot;
use crate::cell_ownership::worker_message::WorkerMessage;
use crate::cell_ownership::worker_state::WorkerState;

impl OwnershipModel {
    /// A message arrives at its receiver.
    pub(crate) fn deliver(&self, state: &mut OwnershipState, message: WorkerMessage) {
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
                slot,
            } => {
                let owner = state.living(receiver).map(|daemon| daemon.view);
                let current =
                    owner.is_some_and(|view| view.epoch == epoch && view.is_owned_by(receiver));
                if current {
                    self.receive_report(state, receiver.daemon, worker, permit, slot);
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

    /// Whether `message` can never have an effect again.
    pub(crate) fn is_void(&self, state: &OwnershipState, message: WorkerMessage) -> bool {
        let worker = *state.worker(message.worker());
        let fenced = |epoch| !self.passes_fence(worker, epoch) && state.budget.restarts == 0;
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
                let late = permit < daemon.permits[usize::from(worker)];
                let current = daemon.is_owner(receiver.daemon)
                    && daemon.incarnation == receiver.incarnation
                    && daemon.view.epoch == epoch;
                !current || late && self.mutation.is_none()
            }
            WorkerMessage::Start {
                epoch,
                permit,
                attempt,
                ..
            } => {
                let known = knows_attempt(worker.slot, attempt) && self.mutation.is_none();
                !worker.alive || fenced(epoch) || known || !self.is_good_permit(worker, permit)
            }
            WorkerMessage::Stop { epoch, attempt, .. } => {
                let over = state.journal.task.attempt > attempt;
                !worker.alive || fenced(epoch) || over && self.mutation.is_none()
            }
        }
    }

    fn passes_fence(&self, worker: WorkerState, epoch: u8) -> bool {
        self.mutation == Some(OwnershipMutation::NoEpochCheck) || epoch >= worker.epoch
    }

    fn is_good_permit(&self, worker: WorkerState, permit: u8) -> bool {
        if self.mutation == Some(OwnershipMutation::OldPermitsGood) {
            return worker.permit_good && permit <= worker.permit;
        }
        worker.permit_good && permit == worker.permit
    }

    fn renew_session(
        &self,
        state: &mut OwnershipState,
        number: u8,
        sender: ProcessId,
        epoch: u8,
        settled: u8,
    ) {
        let worker = *state.worker(number);
        if !worker.alive || !self.passes_fence(worker, epoch) {
            return;
        }
        note_fence(state, number, epoch);
        let worker = state.worker_mut(number);
        worker.epoch = worker.epoch.max(epoch);
        worker.permit += 1;
        worker.permit_good = true;
        worker.slot = worker.slot.forget(settled);
        let report = WorkerMessage::Report {
            worker: number,
            receiver: sender,
            epoch,
            permit: worker.permit,
            slot: worker.slot,
        };
        if state.messages.len() < usize::from(self.bounds.messages) {
            state.messages.insert(report);
        }
    }

    fn start_task(
        &self,
        state: &mut OwnershipState,
        number: u8,
        epoch: u8,
        permit: u8,
        attempt: u8,
    ) {
        let worker = *state.worker(number);
        let fenced = !worker.alive || !self.passes_fence(worker, epoch);
        if fenced || !self.is_good_permit(worker, permit) || knows_attempt(worker.slot, attempt) {
            return;
        }
        note_fence(state, number, epoch);
        note_start(state, number, attempt);
        state.worker_mut(number).slot = TaskSlot::Running(attempt);
    }

    fn stop_task(&self, state: &mut OwnershipState, number: u8, epoch: u8, attempt: u8) {
        let worker = *state.worker(number);
        let fenced = !worker.alive || !self.passes_fence(worker, epoch);
        if fenced || worker.slot != TaskSlot::Running(attempt) || state.budget.stops == 0 {
            return;
        }
        note_fence(state, number, epoch);
        state.budget.stops -= 1;
        state.worker_mut(number).slot = TaskSlot::Stopped(attempt);
    }
}

fn knows_attempt(slot: TaskSlot, attempt: u8) -> bool {
    match slot {
        TaskSlot::Empty => false,
        TaskSlot::Running(_) => true,
        TaskSlot::Finished(ended) | TaskSlot::Stopped(ended) => ended == attempt,
    }
}

fn note_fence(state: &mut OwnershipState, worker: u8, epoch: u8) {
    if epoch < state.worker(worker).epoch {
        state.broken = Some("a former owner has no effect");
    }
}

fn note_start(state: &mut OwnershipState, worker: u8, attempt: u8) {
    let place = usize::from(attempt);
    if state.committed[place] != worker + 1 {
        state.broken = Some("a start follows its commit");
    }
    if state.started[place..].contains(&true) {
        state.broken = Some("each attempt starts once, in order");
    }
    state.started[place] = true;
}
