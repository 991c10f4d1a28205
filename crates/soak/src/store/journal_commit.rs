//! A commit to the journal of a cell.

use sapphirestile_cells::CellState;
use sapphirestile_cells::JournalEntry;
use sapphirestile_core::CellNumber;

/// An entry to commit, with the conditions under which the store writes it.
#[derive(Clone, Debug)]
pub struct JournalCommit {
    /// Cell whose journal is written.
    pub cell: CellNumber,
    /// Revision that the head row must have.
    pub expected_head: u64,
    /// Revision that the document must have; `None` when the entry starts no task.
    pub document_revision: Option<u64>,
    /// The entry that is added to the journal.
    pub entry: JournalEntry,
    /// State to write as a snapshot, after which older entries are deleted; `None` when no
    /// snapshot is due.
    pub snapshot: Option<CellState>,
    /// The owner's state after the entry, compared with the journal's after the write. `None`
    /// for claims and releases.
    pub expected_state: Option<CellState>,
}
