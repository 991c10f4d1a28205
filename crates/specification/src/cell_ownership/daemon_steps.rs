//! Steps of daemons.

use crate::cell_ownership::journal_entry::JournalEntry;
use crate::cell_ownership::journal_write::JournalWrite;
use crate::cell_ownership::ownership_action::OwnershipAction;
use crate::cell_ownership::ownership_bounds::WORKERS;
use crate::cell_ownership::ownership_model::OwnershipModel;
use crate::cell_ownership::ownership_mutation::OwnershipMutation;
use crate::cell_ownership::ownership_state::OwnershipState;
use crate::cell_ownership::task_phase::TaskPhase;
use crate::cell_ownership::task_record::TaskRecord;
use crate::cell_ownership::worker_message::WorkerMessage;
use crate::cell_ownership::worker_task::WorkerTask;

/// Limit of the count of submissions, which matters only as one or several.
const SUBMISSIONS_MAX: u8 = 2;
/// Number of nonces, one more than the maximum number of commits in flight.
const NONCES_MAX: u8 = 3;

impl OwnershipModel {
    /// Adds the actions that `daemon` can take in `state`.
    pub(crate) fn daemon_actions(
        &self,
        state: &OwnershipState,
        daemon: u8,
        actions: &mut Vec<OwnershipAction>,
    ) {
        let daemon_state = state.daemon(daemon);
        if !daemon_state.alive {
            if daemon < self.bounds.daemons {
                actions.push(OwnershipAction::RestartDaemon { daemon });
            }
            return;
        }
        let idle = !daemon_state.is_owner(daemon)
            && daemon_state.pending.is_none()
            && daemon_state.unresolved_submission == 0;
        if state.budget.kills > 0 && !idle {
            actions.push(OwnershipAction::KillDaemon { daemon });
        }
        if let Some(write) = daemon_state.pending {
            if !state.writes.contains(&write) || state.budget.lost_answers > 0 {
                actions.push(OwnershipAction::ReadBack { daemon });
            }
        } else if state.writes.len() < usize::from(self.bounds.writes) {
            for entry in self.entries_to_commit(state, daemon) {
                actions.push(OwnershipAction::SendCommit { daemon, entry });
            }
        }
        if daemon_state.is_owner(daemon) && state.messages.len() < usize::from(self.bounds.messages)
        {
            self.messages_to_send(state, daemon, actions);
        }
    }

    fn entries_to_commit(&self, state: &OwnershipState, daemon: u8) -> Vec<JournalEntry> {
        let daemon_state = state.daemon(daemon);
        let mut entries = Vec::new();
        if !daemon_state.is_owner(daemon) {
            if state.budget.claims > 0 {
                entries.push(JournalEntry::Claim);
            }
            return entries;
        }
        if state.budget.snapshots > 0 {
            entries.push(JournalEntry::Snapshot);
        }
        let task = daemon_state.view.task;
        match task.phase {
            TaskPhase::Absent if daemon_state.unresolved_submission != 0 => {
                entries.push(JournalEntry::Noop);
            }
            TaskPhase::Absent if !state.reported_not_run && !state.has_open_submission() => {
                entries.push(JournalEntry::Submit);
            }
            TaskPhase::Waiting if task.attempt < self.bounds.attempts => {
                entries.extend(assignments(&daemon_state.permits));
            }
            TaskPhase::Assigned if self.may_release_without_report(state, task) => {
                entries.push(JournalEntry::Release {
                    attempt: task.attempt,
                });
            }
            _ => {}
        }
        entries
    }

    fn may_release_without_report(&self, state: &OwnershipState, task: TaskRecord) -> bool {
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
        let daemon_state = state.daemon(daemon);
        let view = &daemon_state.view;
        let mut send = |message| {
            if !state.messages.contains(&message) {
                actions.push(OwnershipAction::SendMessage { daemon, message });
            }
        };
        for worker in (0..).take(WORKERS) {
            if !state.has_renewal(worker, view.epoch) {
                send(WorkerMessage::Renewal {
                    worker,
                    sender: daemon_state.process_id(daemon),
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
        if state.budget.stops > 0 && view.task.phase == TaskPhase::Assigned {
            send(WorkerMessage::Stop {
                worker: view.task.worker,
                epoch,
                attempt: view.task.attempt,
            });
        }
    }

    fn task_to_start(&self, state: &OwnershipState, daemon: u8) -> Option<TaskRecord> {
        let daemon_state = state.daemon(daemon);
        let mut view = daemon_state.view;
        if self.mutation == Some(OwnershipMutation::StartBeforeCommit)
            && let Some(write) = daemon_state.pending
        {
            view.apply(write, write.sequence);
        }
        let startable = view.task.phase == TaskPhase::Assigned && view.task.permit > 0;
        startable.then_some(view.task)
    }

    /// Sends a commit of `entry` at the next sequence number that `daemon` knows. Does
    /// nothing if the maximum number of commits is in flight.
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
            state.submissions = (state.submissions + 1).min(SUBMISSIONS_MAX);
        }
        let daemon_state = state.daemon(daemon);
        let mut write = JournalWrite {
            sequence: daemon_state.view.next_sequence,
            writer: daemon_state.process_id(daemon),
            nonce: 0,
            entry,
        };
        let is_used = |nonce| {
            let mut writes = state.writes.iter();
            writes.any(|other| other.writer == write.writer && other.nonce == nonce)
        };
        write.nonce = (0..NONCES_MAX)
            .find(|nonce| !is_used(*nonce))
            .expect("there are more nonces than commits in flight");
        state.writes.insert(write);
        state.daemon_mut(daemon).pending = Some(write);
    }

    /// Handles a worker's report: keeps its permit, and commits the entry that the report
    /// proves, if any.
    pub(crate) fn receive_report(
        &self,
        state: &mut OwnershipState,
        daemon: u8,
        worker: u8,
        permit: u8,
        reported: WorkerTask,
    ) {
        let daemon_state = state.daemon_mut(daemon);
        let latest_permit = &mut daemon_state.permits[usize::from(worker)];
        let is_outdated = permit < *latest_permit;
        *latest_permit = permit.max(*latest_permit);
        let task = daemon_state.view.task;
        if daemon_state.pending.is_some() || task.phase != TaskPhase::Assigned {
            return;
        }
        let proven = self.proven_entry(task, worker, permit, reported, is_outdated);
        if let Some(entry) = proven {
            self.send_commit(state, daemon, entry);
        }
    }

    fn proven_entry(
        &self,
        task: TaskRecord,
        worker: u8,
        permit: u8,
        reported: WorkerTask,
        is_outdated: bool,
    ) -> Option<JournalEntry> {
        let attempt = task.attempt;
        if self.mutation == Some(OwnershipMutation::OldFinishAccepted)
            && matches!(reported, WorkerTask::Finished(_))
        {
            return Some(JournalEntry::Finish { attempt });
        }
        if task.worker != worker {
            return None;
        }
        match reported {
            WorkerTask::Running(running) if running == attempt => None,
            WorkerTask::Finished(finished) if finished == attempt => {
                Some(JournalEntry::Finish { attempt })
            }
            WorkerTask::Stopped(stopped) if stopped == attempt => {
                Some(JournalEntry::Release { attempt })
            }
            _ => {
                let is_newer = permit > task.permit && !is_outdated;
                let accepts_any = self.mutation == Some(OwnershipMutation::OldReportAsProof);
                (is_newer || accepts_any).then_some(JournalEntry::Release { attempt })
            }
        }
    }
}

fn assignments(permits: &[u8; WORKERS]) -> impl Iterator<Item = JournalEntry> {
    let sessions = (0..).zip(*permits).filter(|(_, permit)| *permit > 0);
    sessions.map(|(worker, permit)| JournalEntry::Assign { worker, permit })
}
