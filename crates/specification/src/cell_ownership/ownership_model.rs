//! Model of the cell's protocol.

use crate::cell_ownership::ownership_action::OwnershipAction;
use crate::cell_ownership::ownership_bounds::OwnershipBounds;
use crate::cell_ownership::ownership_mutation::OwnershipMutation;
use crate::cell_ownership::ownership_state::OwnershipState;
use crate::cell_ownership::task_phase::TaskPhase;
use crate::cell_ownership::worker_message::WorkerMessage;
use crate::cell_ownership::worker_task::WorkerTask;
use crate::model_step::ModelStep;
use crate::protocol_model::ProtocolModel;

/// Model with one cell, its journal, up to three daemons, two workers and one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipModel {
    /// Bounds of the search.
    pub bounds: OwnershipBounds,
    /// The rule that is left out; `None` for the complete protocol.
    pub mutation: Option<OwnershipMutation>,
}

impl OwnershipModel {
    fn store_actions(&self, state: &OwnershipState, actions: &mut Vec<OwnershipAction>) {
        for write in state.writes.iter() {
            actions.push(OwnershipAction::AnswerCommit(write));
            let daemon = state.daemon(write.writer.daemon);
            let is_waiting = daemon.pending == Some(write);
            if !is_waiting {
                actions.push(OwnershipAction::LoseCommit(write));
            } else if state.accepts_write(write, self.mutation) && state.budget.lost_answers > 0 {
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
                let applied = state.process_commit(write, self.mutation);
                state.answer_commit(write, applied);
            }
            OwnershipAction::LoseAnswer(write) => {
                state.budget.lost_answers -= 1;
                state.process_commit(write, self.mutation);
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
            OwnershipAction::DeliverMessage(message) => {
                state.messages.remove(&message);
                self.deliver_message(state, message);
            }
            OwnershipAction::DeliverDuplicate(message) => self.deliver_message(state, message),
            OwnershipAction::LoseMessage(message) => state.messages.remove(&message),
            _ => apply_process_event(state, action),
        }
    }

    fn send_message(&self, state: &mut OwnershipState, message: WorkerMessage) {
        let renewal = matches!(message, WorkerMessage::Renewal { .. });
        if renewal && self.bounds.prompt_renewals {
            self.deliver_message(state, message);
        } else {
            state.messages.insert(message);
        }
    }

    fn normalize_state(&self, state: &mut OwnershipState) {
        for daemon in 0..self.bounds.daemons {
            state.daemon_mut(daemon).clear_unused(daemon);
        }
        for message in state.messages.iter() {
            if self.is_obsolete(state, message) {
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
            actions.push(OwnershipAction::DeliverMessage(message));
            if !matches!(message, WorkerMessage::Report { .. }) {
                actions.push(OwnershipAction::DeliverDuplicate(message));
            }
            actions.push(OwnershipAction::LoseMessage(message));
        }
        worker_actions(state, &mut actions);
        let mut steps = ModelStep::from_actions(state, actions, |next, action| {
            self.apply_action(next, action);
            self.normalize_state(next);
        });
        steps.retain(|step| step.state != *state);
        steps
    }

    fn broken_property(&self, state: &OwnershipState) -> Option<&'static str> {
        let phase = state.journal.task.phase;
        let running = state
            .workers
            .iter()
            .filter_map(|worker| worker.task.running_attempt());
        let running = running.count();
        if running > 1 {
            return Some("a task runs on one worker at most");
        }
        if running > 0 && phase == TaskPhase::Finished {
            return Some("a finished task never runs");
        }
        if state.reported_not_run && phase != TaskPhase::Absent {
            return Some("a not-run report is correct");
        }
        state.violation
    }

    fn is_fault(&self, action: &OwnershipAction) -> bool {
        match action {
            OwnershipAction::SendMessage { message, .. } => {
                matches!(message, WorkerMessage::Stop { .. })
            }
            OwnershipAction::SendCommit { .. }
            | OwnershipAction::AnswerCommit(_)
            | OwnershipAction::ReadBack { .. }
            | OwnershipAction::DeliverMessage(_)
            | OwnershipAction::RestartDaemon { .. }
            | OwnershipAction::FinishTask { .. }
            | OwnershipAction::ListWorkerGone { .. } => false,
            _ => true,
        }
    }

    fn must_heal(&self, state: &OwnershipState) -> bool {
        state.has_spare_claim() && state.attempts_used() < usize::from(self.bounds.attempts)
    }

    fn is_healed(&self, state: &OwnershipState) -> bool {
        state.reported_not_run || state.journal.task.phase == TaskPhase::Finished
    }
}

fn worker_actions(state: &OwnershipState, actions: &mut Vec<OwnershipAction>) {
    for (worker, worker_state) in (0..).zip(&state.workers) {
        if !worker_state.alive {
            if !worker_state.listed_gone {
                actions.push(OwnershipAction::ListWorkerGone { worker });
            }
            continue;
        }
        if worker_state.task.running_attempt().is_some() {
            actions.push(OwnershipAction::FinishTask { worker });
            if state.budget.stops > 0 {
                actions.push(OwnershipAction::ExpireLease { worker });
            }
        }
        if state.budget.worker_losses > 0 {
            actions.push(OwnershipAction::LoseWorker { worker });
        }
        if state.budget.worker_restarts > 0 {
            actions.push(OwnershipAction::RestartWorker { worker });
        }
    }
}

fn apply_process_event(state: &mut OwnershipState, action: OwnershipAction) {
    match action {
        OwnershipAction::KillDaemon { daemon } => {
            state.budget.kills -= 1;
            state.daemon_mut(daemon).alive = false;
        }
        OwnershipAction::RestartDaemon { daemon } => {
            let restarted = state.daemon_mut(daemon);
            restarted.alive = true;
            restarted.incarnation += 1;
        }
        OwnershipAction::FinishTask { worker } => end_task(state, worker, WorkerTask::Finished),
        OwnershipAction::ExpireLease { worker } => {
            state.budget.stops -= 1;
            end_task(state, worker, WorkerTask::Stopped);
        }
        OwnershipAction::LoseWorker { worker } => {
            state.budget.worker_losses -= 1;
            let lost = state.worker_mut(worker);
            lost.alive = false;
            lost.task = WorkerTask::Empty;
            lost.permit_valid = false;
            lost.epoch = 0;
        }
        OwnershipAction::ListWorkerGone { worker } => state.worker_mut(worker).listed_gone = true,
        OwnershipAction::RestartWorker { worker } => {
            state.budget.worker_restarts -= 1;
            let restarted = state.worker_mut(worker);
            restarted.task = WorkerTask::Empty;
            restarted.permit_valid = false;
            restarted.epoch = 0;
        }
        _ => unreachable!("{action:?} is not an event of a process"),
    }
}

fn end_task(state: &mut OwnershipState, worker: u8, end: impl Fn(u8) -> WorkerTask) {
    let task = &mut state.worker_mut(worker).task;
    if let Some(attempt) = task.running_attempt() {
        *task = end(attempt);
    }
}
