//! A cell without an owner.

use sapphirestile_core::CellNumber;

/// A cell without an owner that a daemon may claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreeCell {
    /// The cell whose ownership row the claim replaces.
    pub cell: CellNumber,
    /// The revision of its ownership row; 0 if it was never owned.
    pub revision: u64,
    /// For how long this daemon has seen it without an owner, in milliseconds.
    pub free_ms: u64,
    /// The number of cells without an owner.
    pub cells: usize,
}
