//! The rows of one cell.

use crate::CommitTry;
use sapphirestile_cells::CellState;
use sapphirestile_cells::JournalEntry;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::SortedTable;

/// The rows of one cell, and the fold of all entries that there ever were.
#[derive(Clone, Debug, Default)]
pub struct CellRows {
    /// The revision of the head row.
    pub head: u64,
    /// The entry that the head row names.
    pub latest: Option<JournalEntry>,
    /// Every entry folded, none of them deleted.
    pub truth: CellState,
    entries: SortedTable<JournalSequence, JournalEntry>,
    snapshot: Option<CellState>,
}

impl CellRows {
    /// The state as a new owner reads it: the snapshot and the entries after it.
    #[must_use]
    pub fn load(&self) -> CellState {
        let mut state = self.snapshot.clone().unwrap_or_default();
        for (sequence, entry) in self.entries.iter() {
            if *sequence > state.sequence() {
                state.fold(entry);
            }
        }
        state
    }

    /// Writes an entry, and with a snapshot deletes the entries before it.
    pub fn write(&mut self, commit: &CommitTry, revision: u64) {
        let entry = &commit.entry;
        self.truth.fold(entry);
        self.head = revision;
        self.latest = Some(entry.clone());
        self.entries.insert(entry.sequence, entry.clone());
        if let Some(snapshot) = &commit.snapshot {
            self.snapshot = Some(snapshot.clone());
            self.entries.retain(|place, _| *place >= entry.sequence);
        }
    }
}
