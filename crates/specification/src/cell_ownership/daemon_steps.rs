//! What daemons decide.

use crate::cell_ownership::journal_entry::JournalEntry;
use crate::cell_ownership::journal_write::JournalWrite;
use crate::cell_ownership::ownership_action::OwnershipAction;
use crate::cell_ownership::ownership_bounds::WORKERS;
use crate::cell_ownership::ownership_model::OwnershipModel;
use crate::cell_ownership::ownership_mutation::OwnershipMutation;
use crate::cell_ownership::ownership_state::OwnershipState;
use crate::cell_ownership::record_phase::RecordPhase;
use crate::cell_ownership::task_record::TaskRecord;
use crate::cell_ownership::task_slot::TaskSlot;
use crate::cell_ownership::worker_message::WorkerMessage;

const TRIES_MAX: u8 = 2;
const NONCES_MAX: u8 = 3;

impl OwnershipModel {
    /// What `daemon` may do in `state`.
    pub(crate) fn daemon_actions(
        &self,
        state: &OwnershipState,
        daemon: u8,
        actions: &mut Vec<OwnershipAction>,
    ) {
        let process = state.daemon(daemon);
        if !process.alive {
            if daemon < self.bounds.daemons {
                actions.push(OwnershipAction::Restart { daemon });
            }
            return;
        }
        let idle = !process.is_owner(daemon) && process.pending.is_none() && process.doubt == 0;
        if state.budget.kills > 0 && !idle {
            actions.push(OwnershipAction::Kill { daemon });
        }
        if let Some(write) = process.pending {
            if !state.writes.contains(&write) || state.budget.lost_answers > 0 {
                actions.push(OwnershipAction::ReadBack { daemon });
            }
        } else if state.writes.len() < usize::from(self.bounds.writes) {
            for entry in self.entries_to_commit(state, daemon) {
                actions.push(OwnershipAction::SendCommit { daemon, entry });
            }
        }
        if process.is_owner(daemon) && state.messages.len() < usize::from(self.bounds.messages) {
            self.messages_to_send(state, daemon, actions);
        }
    }

    fn entries_to_commit(&self, state: &OwnershipState, daemon: u8) -> Vec<JournalEntry> {
        let process = state.daemon(daemon);
        let mut entries = Vec::new();
        if !process.is_owner(daemon) {
            if state.budget.claims > 0 {
                entries.push(JournalEntry::Claim);
            }
            return entries;
        }
        if state.budget.snapshots > 0 {
            entries.push(JournalEntry::Snapshot);
        }
        let task = process.view.task;
        match task.phase {
            RecordPhase::Absent if process.doubt != 0 => entries.push(JournalEntry::Fill),
            RecordPhase::Absent if !state.told_not_run && !state.has_open_try() => {
                entries.push(JournalEntry::Submit);
            }
            RecordPhase::Waiting if task.attempt < self.bounds.attempts => {
                entries.extend(placements(&process.permits));
            }
            RecordPhase::Placed if self.may_release_unasked(state, task) => {
                entries.push(JournalEntry::Release {
                    attempt: task.attempt,
                });
            }
            _ => {}
        }
        entries
    }

    fn may_release_unasked(&self, state: &OwnershipState, task: TaskRecord) -> bool {
        match self.mutation {
            Some(OwnershipMutation::TimeoutAsProof) => true,
            Some(OwnershipMutation::NoSessionFirst) if task.permit == 0 => true,
            _ => state.worker(task.worker).listed_gone,
        }
    }

    fn messages_to_send(
        &self,
        state: &OwnershipState,
        daemon: u8,
        actions: &mut Vec<OwnershipAction>,
    ) {
        let process = state.daemon(daemon);
        let view = &process.view;
        let mut send = |message| {
            if !state.messages.contains(&message) {
                actions.push(OwnershipAction::SendMessage { daemon, message });
            }
        };
        for worker in (0..).take(WORKERS) {
            if !state.has_renewal(worker, view.epoch) {
                send(WorkerMessage::Renewal {
                    worker,
                    sender: process.process(daemon),
                    epoch: view.epoch,
                    settled: view.task.settled_attempt(),
                });
            }
        }
        let epoch = view.epoch;
        if let Some(task) = self.task_to_start(state, daemon) {
            send(WorkerMessage::Start {
                worker: task.worker,
                epoch,
                permit: task.permit,
                attempt: task.attempt,
            });
        }
        if state.budget.stops > 0 && view.task.phase == RecordPhase::Placed {
            send(WorkerMessage::Stop {
                worker: view.task.worker,
                epoch,
                attempt: view.task.attempt,
            });
        }
    }

    fn task_to_start(&self, state: &OwnershipState, daemon: u8) -> Option<TaskRecord> {
        let process = state.daemon(daemon);
        let mut view = process.view;
        if self.mutation == Some(OwnershipMutation::StartBeforeCommit)
            && let Some(write) = process.pending
        {
            view.apply(write, write.sequence);
        }
        let startable = view.task.phase == RecordPhase::Placed && view.task.permit > 0;
        startable.then_some(view.task)
    }

    /// Sends a commit of `entry` at the next number that `daemon` knows of.
    pub(crate) fn send_commit(&self, state: &mut OwnershipState, daemon: u8, entry: JournalEntry) {
        if state.writes.len() >= usize::from(self.bounds.writes) {
            return;
        }
        let journal = state.journal;
        if entry == JournalEntry::Claim {
            state.daemon_mut(daemon).read_journal(journal);
        }
        if entry == JournalEntry::Snapshot {
            state.budget.snapshots -= 1;
        }
        if entry == JournalEntry::Submit {
            state.tries = (state.tries + 1).min(TRIES_MAX);
        }
        let process = state.daemon(daemon);
        let mut write = JournalWrite {
            sequence: process.view.next,
            writer: process.process(daemon),
            nonce: 0,
            entry,
        };
        let is_used = |nonce| {
            let mut writes = state.writes.iter();
            writes.any(|other| other.writer == write.writer && other.nonce == nonce)
        };
        write.nonce = (0..NONCES_MAX)
            .find(|nonce| !is_used(*nonce))
            .expect("fewer commits are under way than there are nonces");
        state.writes.insert(write);
        state.daemon_mut(daemon).pending = Some(write);
    }

    /// Takes in a report and commits what it proves.
    pub(crate) fn receive_report(
        &self,
        state: &mut OwnershipState,
        daemon: u8,
        worker: u8,
        permit: u8,
        slot: TaskSlot,
    ) {
        let process = state.daemon_mut(daemon);
        let held = &mut process.permits[usize::from(worker)];
        let late = permit < *held;
        *held = permit.max(*held);
        let task = process.view.task;
        if process.pending.is_some() || task.phase != RecordPhase::Placed {
            return;
        }
        let proof = self.proven_entry(task, worker, permit, slot, late);
        if let Some(entry) = proof {
            self.send_commit(state, daemon, entry);
        }
    }

    fn proven_entry(
        &self,
        task: TaskRecord,
        worker: u8,
        permit: u8,
        slot: TaskSlot,
        late: bool,
    ) -> Option<JournalEntry> {
        let attempt = task.attempt;
        if self.mutation == Some(OwnershipMutation::OldFinishAccepted)
            && matches!(slot, TaskSlot::Finished(_))
        {
            return Some(JournalEntry::Finish { attempt });
        }
        if task.worker != worker {
            return None;
        }
        match slot {
            TaskSlot::Running(running) if running == attempt => None,
            TaskSlot::Finished(finished) if finished == attempt => {
                Some(JournalEntry::Finish { attempt })
            }
            TaskSlot::Stopped(stopped) if stopped == attempt => {
                Some(JournalEntry::Release { attempt })
            }
            _ => {
                let newer = permit > task.permit && !late;
                let careless = self.mutation == Some(OwnershipMutation::OldReportAsProof);
                (newer || careless).then_some(JournalEntry::Release { attempt })
            }
        }
    }
}

fn placements(permits: &[u8; WORKERS]) -> impl Iterator<Item = JournalEntry> {
    let sessions = (0..).zip(*permits).filter(|(_, permit)| *permit > 0);
    sessions.map(|(worker, permit)| JournalEntry::Place { worker, permit })
}
