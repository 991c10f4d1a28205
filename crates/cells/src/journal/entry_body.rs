//! Contents of journal entries.

use serde::Deserialize;
use serde::Serialize;

use crate::journal::CellTransition;

/// The contents of a journal entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryBody {
    /// The writer owns the cell from this entry on; the entry's sequence is its epoch.
    Claim,
    /// The writer gives up the cell.
    Release,
    /// Changes that take effect atomically.
    Batch(Vec<CellTransition>),
}
