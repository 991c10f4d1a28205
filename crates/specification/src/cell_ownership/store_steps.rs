//! Steps of the store, and of a daemon that receives its answer.

use crate::cell_ownership::journal_entry::JournalEntry;
use crate::cell_ownership::journal_write::JournalWrite;
use crate::cell_ownership::ownership_mutation::OwnershipMutation;
use crate::cell_ownership::ownership_state::OwnershipState;
use crate::cell_ownership::task_phase::TaskPhase;

impl OwnershipState {
    /// Whether the store would accept `write` now.
    pub(crate) fn accepts_write(
        &self,
        write: JournalWrite,
        mutation: Option<OwnershipMutation>,
    ) -> bool {
        match mutation {
            Some(OwnershipMutation::NoSequenceCheck) => true,
            Some(OwnershipMutation::DeletedNumberFree) => {
                write.sequence == self.journal.next_sequence
                    || write.sequence < self.journal.snapshot_sequence
            }
            _ => write.sequence == self.journal.next_sequence,
        }
    }

    /// The store applies `write` or rejects it. Returns whether it accepted it; a write at a
    /// deleted sequence number can be accepted without an effect on the state.
    pub(crate) fn process_commit(
        &mut self,
        write: JournalWrite,
        mutation: Option<OwnershipMutation>,
    ) -> bool {
        self.writes.remove(&write);
        if !self.accepts_write(write, mutation) {
            return false;
        }
        let deleted = write.sequence < self.journal.snapshot_sequence;
        if deleted && mutation != Some(OwnershipMutation::NoSequenceCheck) {
            return true;
        }
        let sequence = self.journal.next_sequence;
        self.journal.apply(write, sequence);
        if let JournalEntry::Assign { worker, .. } = write.entry {
            self.committed_workers[usize::from(self.journal.task.attempt)] = worker + 1;
        }
        if write.entry == JournalEntry::Claim {
            self.budget.claims = self.budget.claims.saturating_sub(1);
        }
        true
    }

    /// The writer receives the answer whether its commit was applied.
    pub(crate) fn answer_commit(&mut self, write: JournalWrite, applied: bool) {
        let journal = self.journal;
        let Some(daemon) = self.live_daemon(write.writer) else {
            return;
        };
        if daemon.pending != Some(write) {
            return;
        }
        if applied {
            daemon.apply_written(write);
        } else {
            daemon.read_journal(journal);
        }
        self.resolve_submission(write.writer.daemon);
        let absent = self.daemon(write.writer.daemon).view.task.phase == TaskPhase::Absent;
        self.report_not_run(!applied && write.entry == JournalEntry::Submit && absent);
    }

    /// Reports "not run" to the submitter if its submission was refused and was the only
    /// one. For a later submission, the answer would prove nothing about the earlier ones.
    fn report_not_run(&mut self, refused: bool) {
        self.reported_not_run |= refused && self.submissions == 1;
    }

    /// A daemon stops waiting for the answer to its commit and reads the journal.
    pub(crate) fn read_back(&mut self, daemon: u8, mutation: Option<OwnershipMutation>) {
        let journal = self.journal;
        let reader = self.daemon_mut(daemon);
        let write = reader
            .pending
            .expect("a daemon reads back only with a pending commit");
        let submitted = write.entry == JournalEntry::Submit;
        match mutation {
            Some(OwnershipMutation::LostAnswerNotWritten) => {
                reader.pending = None;
                self.report_not_run(submitted);
            }
            Some(OwnershipMutation::LostAnswerWritten) => reader.apply_written(write),
            _ => {
                reader.read_journal(journal);
                if submitted {
                    reader.unresolved_submission = write.sequence;
                }
                let absent = reader.view.task.phase == TaskPhase::Absent;
                let trusts_absence = mutation == Some(OwnershipMutation::AbsentReadAsProof);
                self.report_not_run(submitted && absent && trusts_absence);
                self.resolve_submission(daemon);
            }
        }
    }

    /// Resolves a submission with unknown outcome once the task is in the journal, or once
    /// another entry has its sequence number: then it is reported as "not run".
    fn resolve_submission(&mut self, daemon: u8) {
        let reader = self.daemon_mut(daemon);
        if reader.unresolved_submission == 0 {
            return;
        }
        let absent = reader.view.task.phase == TaskPhase::Absent;
        let taken = reader.view.next_sequence > reader.unresolved_submission;
        if !absent || taken {
            reader.unresolved_submission = 0;
            self.report_not_run(absent);
        }
    }
}
