//! One try to commit an entry.

use sapphirestile_cells::CellState;
use sapphirestile_cells::JournalEntry;
use sapphirestile_core::CellNumber;

/// One try to commit an entry.
#[derive(Clone, Debug)]
pub struct CommitTry {
    /// The cell.
    pub cell: CellNumber,
    /// The revision that the head row must have.
    pub head: u64,
    /// The revision that the document must have.
    pub document: Option<u64>,
    /// The entry.
    pub entry: JournalEntry,
    /// The state to write as a snapshot, when older entries are to be deleted.
    pub snapshot: Option<CellState>,
    /// The owner's state with the entry.
    pub expected: Option<CellState>,
}
