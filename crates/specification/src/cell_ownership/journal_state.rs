//! The journal of the cell, folded.

use crate::cell_ownership::journal_entry::JournalEntry;
use crate::cell_ownership::journal_write::JournalWrite;
use crate::cell_ownership::process_id::ProcessId;
use crate::cell_ownership::record_phase::RecordPhase;
use crate::cell_ownership::task_record::TaskRecord;

/// What the journal says up to a number: in the store, or as a daemon knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JournalState {
    /// The number that the next entry takes.
    pub next: u8,
    /// The number of the latest snapshot; entries before it are deleted.
    pub snapshot: u8,
    /// The number of the latest claim.
    pub epoch: u8,
    /// Who made the latest claim.
    pub owner: ProcessId,
    /// The task.
    pub task: TaskRecord,
}

impl JournalState {
    /// Adds the entry of `write` at `number`.
    pub(crate) fn apply(&mut self, write: JournalWrite, number: u8) {
        self.next = number + 1;
        match write.entry {
            JournalEntry::Claim => {
                self.epoch = number;
                self.owner = write.writer;
                self.task.permit = 0;
            }
            JournalEntry::Submit => self.task.phase = RecordPhase::Waiting,
            JournalEntry::Fill => {}
            JournalEntry::Place { worker, permit } => self.place_task(worker, permit),
            JournalEntry::Release { attempt } => self.end_attempt(attempt, RecordPhase::Waiting),
            JournalEntry::Finish { attempt } => self.end_attempt(attempt, RecordPhase::Finished),
            JournalEntry::Snapshot => self.snapshot = number,
        }
    }

    /// Whether `process` made the latest claim.
    pub(crate) fn is_owned_by(&self, process: ProcessId) -> bool {
        self.epoch > 0 && self.owner == process
    }

    fn place_task(&mut self, worker: u8, permit: u8) {
        self.task = TaskRecord {
            phase: RecordPhase::Placed,
            attempt: self.task.attempt + 1,
            worker,
            permit,
        };
    }

    fn end_attempt(&mut self, attempt: u8, phase: RecordPhase) {
        if self.task.is_placed(attempt) {
            self.task = self.task.moved_to(phase);
        }
    }
}
