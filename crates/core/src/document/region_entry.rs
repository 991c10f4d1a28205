//! What operators say of a region.

/// One `[region NAME]` section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionEntry {
    /// The number of the region's first cell.
    pub first_cell: u16,
    /// Into how many cells the region's workers are split.
    pub cells: u16,
}
