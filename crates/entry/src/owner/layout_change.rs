//! Change of the layout of cells.

use sapphirestile_jobs::CellLayout;

/// Change of the layout of cells, which takes effect if the layout is still the one that it
/// extends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LayoutChange {
    /// The extended layout.
    pub layout: CellLayout,
    /// The revision of the row of the layout that was extended; 0 if there was none.
    pub revision: u64,
}
