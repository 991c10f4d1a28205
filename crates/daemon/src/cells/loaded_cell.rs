//! A cell as the store has it.

use sapphirestile_cells::CellState;

/// A cell as the store has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedCell {
    /// The fold of the snapshot and the entries after it.
    pub state: CellState,
    /// The revision of the head row; 0 when there is none yet.
    pub head: u64,
}
