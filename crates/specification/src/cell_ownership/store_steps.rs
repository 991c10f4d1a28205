//! Commits at the store and their answers.

use crate::cell_ownership::journal_entry::JournalEntry;
use crate::cell_ownership::journal_write::JournalWrite;
use crate::cell_ownership::ownership_mutation::OwnershipMutation;
use crate::cell_ownership::ownership_state::OwnershipState;
use crate::cell_ownership::record_phase::RecordPhase;

impl OwnershipState {
    /// Whether the store carries out `write` now.
    pub(crate) fn is_free(&self, write: JournalWrite, mutation: Option<OwnershipMutation>) -> bool {
        match mutation {
            Some(OwnershipMutation::NoSequenceCheck) => true,
            Some(OwnershipMutation::DeletedNumberFree) => {
                write.sequence == self.journal.next || write.sequence < self.journal.snapshot
            }
            _ => write.sequence == self.journal.next,
        }
    }

    /// The store carries out `write` or refuses it.
    pub(crate) fn land_commit(
        &mut self,
        write: JournalWrite,
        mutation: Option<OwnershipMutation>,
    ) -> bool {
        self.writes.remove(&write);
        if !self.is_free(write, mutation) {
            return false;
        }
        let deleted = write.sequence < self.journal.snapshot;
        if deleted && mutation != Some(OwnershipMutation::NoSequenceCheck) {
            return true;
        }
        let number = self.journal.next;
        self.journal.apply(write, number);
        if let JournalEntry::Place { worker, .. } = write.entry {
            self.committed[usize::from(self.journal.task.attempt)] = worker + 1;
        }
        if write.entry == JournalEntry::Claim {
            self.budget.claims = self.budget.claims.saturating_sub(1);
        }
        true
    }

    /// The writer hears whether its commit was carried out.
    pub(crate) fn answer_commit(&mut self, write: JournalWrite, done: bool) {
        let journal = self.journal;
        let Some(daemon) = self.living(write.writer) else {
            return;
        };
        if daemon.pending != Some(write) {
            return;
        }
        if done {
            daemon.apply_written(write);
        } else {
            daemon.read_journal(journal);
        }
        self.settle_doubt(write.writer.daemon);
        let absent = self.daemon(write.writer.daemon).view.task.phase == RecordPhase::Absent;
        self.tell_not_run(!done && write.entry == JournalEntry::Submit && absent);
    }

    /// The submitter hears "not run" of its only try. Of a later try it would
    /// say nothing about the earlier ones.
    fn tell_not_run(&mut self, refused: bool) {
        self.told_not_run |= refused && self.tries == 1;
    }

    /// A daemon waits no longer for an answer.
    pub(crate) fn read_back(&mut self, daemon: u8, mutation: Option<OwnershipMutation>) {
        let journal = self.journal;
        let reader = self.daemon_mut(daemon);
        let write = reader.pending.expect("only a pending commit is read back");
        let submitted = write.entry == JournalEntry::Submit;
        match mutation {
            Some(OwnershipMutation::LostAnswerNotWritten) => {
                reader.pending = None;
                self.tell_not_run(submitted);
            }
            Some(OwnershipMutation::LostAnswerWritten) => reader.apply_written(write),
            _ => {
                reader.read_journal(journal);
                if submitted {
                    reader.doubt = write.sequence;
                }
                let absent = reader.view.task.phase == RecordPhase::Absent;
                let careless = mutation == Some(OwnershipMutation::AbsentReadAsProof);
                self.tell_not_run(submitted && absent && careless);
                self.settle_doubt(daemon);
            }
        }
    }

    /// Tells the submitter "not run" once the number of its submission is taken
    /// by another entry.
    fn settle_doubt(&mut self, daemon: u8) {
        let reader = self.daemon_mut(daemon);
        if reader.doubt == 0 {
            return;
        }
        let absent = reader.view.task.phase == RecordPhase::Absent;
        let taken = reader.view.next > reader.doubt;
        if !absent || taken {
            reader.doubt = 0;
            self.tell_not_run(absent);
        }
    }
}
