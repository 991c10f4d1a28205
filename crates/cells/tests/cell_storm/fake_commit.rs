//! Guarded commits to the store.

use sapphirestile_cells::CellState;
use sapphirestile_cells::JournalEntry;

/// An entry guarded by the revision of the head row and, when it starts tasks, by the
/// configuration's revision.
#[derive(Clone, Debug)]
pub struct FakeCommit {
    pub entry: JournalEntry,
    pub head: u64,
    pub config: Option<usize>,
    pub snapshot: Option<CellState>,
}
