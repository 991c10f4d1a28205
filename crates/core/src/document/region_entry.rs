//! What operators say of a region.

use crate::SectionReader;
use crate::document::CELLS_MAX;

const CELLS_EXPECTED: &str = "a number of cells from 1 to 1024";

/// One `[region NAME]` section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionEntry {
    /// The number of the region's first cell.
    pub first_cell: u16,
    /// Into how many cells the region's workers are split.
    pub cells: u16,
}

impl RegionEntry {
    pub(super) fn read(mut reader: SectionReader<'_>, first_cell: u16) -> Option<Self> {
        let cells = reader.ranged("cells", None, 1..=CELLS_MAX, CELLS_EXPECTED);
        reader.finish();
        Some(Self {
            first_cell,
            cells: cells?,
        })
    }

    /// The keys and values of the section.
    #[must_use]
    pub fn pairs(&self) -> Vec<(&'static str, String)> {
        vec![("cells", self.cells.to_string())]
    }
}
