//! A cell as read from the store.

use sapphirestile_cells::CellState;

/// The state of a cell and the revision on which its next commit is conditional, as read by
/// [`crate::cells::CellJournal::load`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedCell {
    /// The fold of the snapshot and the entries after it.
    pub state: CellState,
    /// The revision of the head row; 0 when the row does not exist yet.
    pub head_revision: u64,
}
