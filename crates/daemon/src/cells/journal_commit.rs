//! A commit to the journal of a cell.

use sapphirestile_cells::CellState;
use sapphirestile_cells::JournalEntry;
use sapphirestile_core::ConfigRevision;

/// An entry to commit, with the configuration that it requires and the snapshot that is
/// written with it.
#[derive(Clone, Debug)]
pub struct JournalCommit {
    /// The entry that is added to the journal.
    pub entry: JournalEntry,
    /// The configuration revision that must still be the latest for the commit to
    /// succeed. `None` when the entry starts no task.
    pub config_revision: Option<ConfigRevision>,
    /// The cell state that includes the entry, when a snapshot is due. It is written with
    /// the entry, and the journal entries before this one are deleted.
    pub snapshot: Option<CellState>,
}
