//! The `[cells]` section of the document.

use crate::SectionReader;

/// The largest number of cells that a document may set.
pub const CELLS_MAX: u16 = 1_024;
const COUNT_EXPECTED: &str = "a number of cells from 1 to 1024";

/// The `[cells]` section: the number of cells over which workers and jobs are
/// partitioned.
///
/// A cell of about 140 workers is a good size; a smaller fleet has a single cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellsEntry {
    /// The number of cells, from 1 to 1024.
    pub count: u16,
}

impl Default for CellsEntry {
    fn default() -> Self {
        Self { count: 1 }
    }
}

impl CellsEntry {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let count = reader.ranged("count", None, 1..=CELLS_MAX, COUNT_EXPECTED);
        reader.finish();
        Some(Self { count: count? })
    }

    /// The keys of the section with their values as INI text, in the order in which
    /// they are written.
    #[must_use]
    pub fn pairs(&self) -> Vec<(&'static str, String)> {
        vec![("count", self.count.to_string())]
    }
}
