//! An entry on its way to the journal.

use sapphirestile_cells::CellState;
use sapphirestile_cells::JournalEntry;
use sapphirestile_core::ConfigRevision;

/// An entry to commit.
#[derive(Clone, Debug)]
pub struct JournalBatch {
    /// The entry.
    pub entry: JournalEntry,
    /// The configuration that must still be the latest, when the entry starts tasks.
    pub revision: Option<ConfigRevision>,
    /// The state with the entry, when older entries are to be deleted.
    pub snapshot: Option<CellState>,
}
