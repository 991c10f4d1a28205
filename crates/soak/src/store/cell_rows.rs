//! The rows of one cell.

use crate::JournalCommit;
use sapphirestile_cells::CellState;
use sapphirestile_cells::JournalEntry;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::SortedTable;

/// The rows of one cell, and the state after all entries ever written, which the invariants
/// are checked against.
#[derive(Clone, Debug, Default)]
pub struct CellRows {
    /// Revision of the head row; 0 before the first commit.
    pub head_revision: u64,
    /// The latest entry; `None` before the first commit.
    pub latest_entry: Option<JournalEntry>,
    /// State after all entries, including those that were deleted after a snapshot.
    pub full_state: CellState,
    entries: SortedTable<JournalSequence, JournalEntry>,
    snapshot: Option<CellState>,
}

impl CellRows {
    /// Reads the state as a new owner does: the snapshot with the entries after it applied.
    #[must_use]
    pub fn load_state(&self) -> CellState {
        let mut state = self.snapshot.clone().unwrap_or_default();
        for (sequence, entry) in self.entries.iter() {
            if *sequence > state.sequence() {
                state.fold(entry);
            }
        }
        state
    }

    /// Writes an entry and sets the head to `revision`. With a snapshot, also deletes the
    /// entries before this one.
    pub fn write_commit(&mut self, commit: &JournalCommit, revision: u64) {
        let entry = &commit.entry;
        self.full_state.fold(entry);
        self.head_revision = revision;
        self.latest_entry = Some(entry.clone());
        self.entries.insert(entry.sequence, entry.clone());
        if let Some(snapshot) = &commit.snapshot {
            self.snapshot = Some(snapshot.clone());
            self.entries
                .retain(|sequence, _| *sequence >= entry.sequence);
        }
    }
}
