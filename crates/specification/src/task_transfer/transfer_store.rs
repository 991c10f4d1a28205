//! The rows in the store.

use crate::task_transfer::task_view::TaskView;

/// The rows in the store. Arrays have the row of the home first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferStore {
    /// Epoch in the head row of each cell.
    pub epochs: [u8; 2],
    /// What the record of each cell says.
    pub records: [TaskView; 2],
    /// Highest number that the record of each cell has.
    pub numbers: [u8; 2],
    /// Number in the row that gives the task to the cell.
    pub rows: [Option<u8>; 2],
    /// Whether the job was cancelled at its home, or revoked in the other cell.
    pub is_cancelled: [bool; 2],
}

impl TransferStore {
    /// Number of cells that have the task. The home has it by its record, or by a row that
    /// its record does not cover; the other cell by its row.
    #[must_use]
    pub fn places(&self) -> usize {
        let is_at_home = self.records[0].is_here();
        let is_back = self.rows[0].is_some_and(|number| number > self.numbers[0]);
        usize::from(is_at_home) + usize::from(is_back) + usize::from(self.rows[1].is_some())
    }
}
