//! The cell's protocol as a model.

use crate::cell_ownership::ownership_action::OwnershipAction;
use crate::cell_ownership::ownership_bounds::OwnershipBounds;
use crate::cell_ownership::ownership_mutation::OwnershipMutation;
use crate::cell_ownership::ownership_state::OwnershipState;
use crate::cell_ownership::record_phase::RecordPhase;
use crate::cell_ownership::task_slot::TaskSlot;
use crate::cell_ownership::worker_message::WorkerMessage;
use crate::model_step::ModelStep;
use crate::protocol_model::ProtocolModel;

/// Owners of one cell, its journal and its workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipModel {
    /// How far the search goes.
    pub bounds: OwnershipBounds,
    /// The rule that is left out, if any.
    pub mutation: Option<OwnershipMutation>,
}

impl OwnershipModel {
    fn store_actions(&self, state: &OwnershipState, actions: &mut Vec<OwnershipAction>) {
        for write in state.writes.iter() {
            actions.push(OwnershipAction::AnswerCommit(write));
            let daemon = state.daemon(write.writer.daemon);
            let waiting = daemon.pending == Some(write);
            if !waiting {
                actions.push(OwnershipAction::LoseCommit(write));
            } else if state.is_free(write, self.mutation) && state.budget.lost_answers > 0 {
                actions.push(OwnershipAction::LoseAnswer(write));
            }
        }
    }

    fn apply_action(&self, state: &mut OwnershipState, action: OwnershipAction) {
        match action {
            OwnershipAction::SendCommit { daemon, entry } => {
                self.send_commit(state, daemon, entry);
            }
            OwnershipAction::AnswerCommit(write) => {
                let done = state.land_commit(write, self.mutation);
                state.answer_commit(write, done);
            }
            OwnershipAction::LoseAnswer(write) => {
                state.budget.lost_answers -= 1;
                state.land_commit(write, self.mutation);
            }
            OwnershipAction::LoseCommit(write) => state.writes.remove(&write),
            OwnershipAction::ReadBack { daemon } => {
                let pending = state.daemon(daemon).pending;
                if pending.is_some_and(|write| state.writes.contains(&write)) {
                    state.budget.lost_answers -= 1;
                }
                state.read_back(daemon, self.mutation);
            }
            OwnershipAction::SendMessage { message, .. } => self.send_message(state, message),
            OwnershipAction::Deliver(message) => {
                state.messages.remove(&message);
                self.deliver(state, message);
            }
            OwnershipAction::DeliverCopy(message) => self.deliver(state, message),
            OwnershipAction::LoseMessage(message) => state.messages.remove(&message),
            _ => apply_event(state, action),
        }
    }

    fn send_message(&self, state: &mut OwnershipState, message: WorkerMessage) {
        let renewal = matches!(message, WorkerMessage::Renewal { .. });
        if renewal && self.bounds.prompt_renewals {
            self.deliver(state, message);
        } else {
            state.messages.insert(message);
        }
    }

    fn tidy_state(&self, state: &mut OwnershipState) {
        for daemon in 0..self.bounds.daemons {
            state.daemon_mut(daemon).forget_unused(daemon);
        }
        for message in state.messages.iter() {
            if self.is_void(state, message) {
                state.messages.remove(&message);
            }
        }
        state.rank_numbers();
    }
}

impl ProtocolModel for OwnershipModel {
    type State = OwnershipState;
    type Action = OwnershipAction;

    fn initial_state(&self) -> OwnershipState {
        OwnershipState::new(&self.bounds)
    }

    fn next_steps(
        &self,
        state: &OwnershipState,
    ) -> Vec<ModelStep<OwnershipState, OwnershipAction>> {
        let mut actions = Vec::new();
        self.store_actions(state, &mut actions);
        for daemon in 0..self.bounds.daemons {
            self.daemon_actions(state, daemon, &mut actions);
        }
        for message in state.messages.iter() {
            actions.push(OwnershipAction::Deliver(message));
            if !matches!(message, WorkerMessage::Report { .. }) {
                actions.push(OwnershipAction::DeliverCopy(message));
            }
            actions.push(OwnershipAction::LoseMessage(message));
        }
        worker_events(state, &mut actions);
        let mut steps = ModelStep::from_actions(state, actions, |next, action| {
            self.apply_action(next, action);
            self.tidy_state(next);
        });
        steps.retain(|step| step.state != *state);
        steps
    }

    fn broken_property(&self, state: &OwnershipState) -> Option<&'static str> {
        let phase = state.journal.task.phase;
        let running = state
            .workers
            .iter()
            .filter_map(|worker| worker.slot.running_attempt());
        let running = running.count();
        if running > 1 {
            return Some("a task runs on one worker at most");
        }
        if running > 0 && phase == RecordPhase::Finished {
            return Some("a finished task never runs");
        }
        if state.told_not_run && phase != RecordPhase::Absent {
            return Some("a not-run report is correct");
        }
        state.broken
    }

    fn is_fault(&self, action: &OwnershipAction) -> bool {
        match action {
            OwnershipAction::SendMessage { message, .. } => {
                matches!(message, WorkerMessage::Stop { .. })
            }
            OwnershipAction::SendCommit { .. }
            | OwnershipAction::AnswerCommit(_)
            | OwnershipAction::ReadBack { .. }
            | OwnershipAction::Deliver(_)
            | OwnershipAction::Restart { .. }
            | OwnershipAction::FinishTask { .. }
            | OwnershipAction::ListGone { .. } => false,
            _ => true,
        }
    }

    fn must_heal(&self, state: &OwnershipState) -> bool {
        state.has_spare_claim() && state.attempts_used() < usize::from(self.bounds.attempts)
    }

    fn is_healed(&self, state: &OwnershipState) -> bool {
        state.told_not_run || state.journal.task.phase == RecordPhase::Finished
    }
}

fn worker_events(state: &OwnershipState, actions: &mut Vec<OwnershipAction>) {
    for (worker, it) in (0..).zip(&state.workers) {
        if !it.alive {
            if !it.listed_gone {
                actions.push(OwnershipAction::ListGone { worker });
            }
            continue;
        }
        if it.slot.running_attempt().is_some() {
            actions.push(OwnershipAction::FinishTask { worker });
            if state.budget.stops > 0 {
                actions.push(OwnershipAction::LapseLease { worker });
            }
        }
        if state.budget.losses > 0 {
            actions.push(OwnershipAction::LoseWorker { worker });
        }
        if state.budget.restarts > 0 {
            actions.push(OwnershipAction::RestartWorker { worker });
        }
    }
}

fn apply_event(state: &mut OwnershipState, action: OwnershipAction) {
    match action {
        OwnershipAction::Kill { daemon } => {
            state.budget.kills -= 1;
            state.daemon_mut(daemon).alive = false;
        }
        OwnershipAction::Restart { daemon } => {
            let process = state.daemon_mut(daemon);
            process.alive = true;
            process.incarnation += 1;
        }
        OwnershipAction::FinishTask { worker } => end_task(state, worker, TaskSlot::Finished),
        OwnershipAction::LapseLease { worker } => {
            state.budget.stops -= 1;
            end_task(state, worker, TaskSlot::Stopped);
        }
        OwnershipAction::LoseWorker { worker } => {
            state.budget.losses -= 1;
            let lost = state.worker_mut(worker);
            lost.alive = false;
            lost.slot = TaskSlot::Empty;
            lost.permit_good = false;
            lost.epoch = 0;
        }
        OwnershipAction::ListGone { worker } => state.worker_mut(worker).listed_gone = true,
        OwnershipAction::RestartWorker { worker } => {
            state.budget.restarts -= 1;
            let fresh = state.worker_mut(worker);
            fresh.slot = TaskSlot::Empty;
            fresh.permit_good = false;
            fresh.epoch = 0;
        }
        _ => unreachable!("{action:?} is no event of a process"),
    }
}

fn end_task(state: &mut OwnershipState, worker: u8, end: impl Fn(u8) -> TaskSlot) {
    let slot = &mut state.worker_mut(worker).slot;
    if let Some(attempt) = slot.running_attempt() {
        *slot = end(attempt);
    }
}
