//! State of the cell by its journal.

use crate::cell_ownership::journal_entry::JournalEntry;
use crate::cell_ownership::journal_write::JournalWrite;
use crate::cell_ownership::process_id::ProcessId;
use crate::cell_ownership::task_phase::TaskPhase;
use crate::cell_ownership::task_record::TaskRecord;

/// State of the cell by the entries of its journal: of all entries in the store, or of
/// those that a daemon knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JournalState {
    /// Sequence number of the next entry.
    pub next_sequence: u8,
    /// Sequence number of the latest snapshot, 0 without one; the entries before it are
    /// deleted.
    pub snapshot_sequence: u8,
    /// Sequence number of the latest claim.
    pub epoch: u8,
    /// Process that made the latest claim.
    pub owner: ProcessId,
    /// The cell's only task.
    pub task: TaskRecord,
}

impl JournalState {
    /// Applies the entry of `write`, which was written at `sequence`.
    pub(crate) fn apply(&mut self, write: JournalWrite, sequence: u8) {
        self.next_sequence = sequence + 1;
        match write.entry {
            JournalEntry::Claim => {
                self.epoch = sequence;
                self.owner = write.writer;
                self.task.permit = 0;
            }
            JournalEntry::Submit => self.task.phase = TaskPhase::Waiting,
            JournalEntry::Noop => {}
            JournalEntry::Assign { worker, permit } => self.assign_task(worker, permit),
            JournalEntry::Release { attempt } => self.end_attempt(attempt, TaskPhase::Waiting),
            JournalEntry::Finish { attempt } => self.end_attempt(attempt, TaskPhase::Finished),
            JournalEntry::Snapshot => self.snapshot_sequence = sequence,
        }
    }

    /// Whether `process` made the latest claim.
    pub(crate) fn is_owned_by(&self, process: ProcessId) -> bool {
        self.epoch > 0 && self.owner == process
    }

    fn assign_task(&mut self, worker: u8, permit: u8) {
        self.task = TaskRecord {
            phase: TaskPhase::Assigned,
            attempt: self.task.attempt + 1,
            worker,
            permit,
        };
    }

    fn end_attempt(&mut self, attempt: u8, phase: TaskPhase) {
        if self.task.is_assigned(attempt) {
            self.task = self.task.unassigned(phase);
        }
    }
}
