//! What operators say of cells.

use crate::SectionReader;

/// The most cells.
pub const CELLS_MAX: u16 = 1_024;
const COUNT_EXPECTED: &str = "a number of cells from 1 to 1024";

/// The `[cells]` section: into how many cells workers and jobs are spread.
///
/// Some 140 workers make a good cell; a smaller fleet has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellsEntry {
    /// How many cells there are.
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

    /// The keys and values of the section.
    #[must_use]
    pub fn pairs(&self) -> Vec<(&'static str, String)> {
        vec![("count", self.count.to_string())]
    }
}
