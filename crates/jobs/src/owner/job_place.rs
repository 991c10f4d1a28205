//! Where a job has its home.

use sapphirestile_core::CellNumber;

/// Where a job that an owner holds has its home: the cell that took it, and that says how it
/// stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum JobPlace {
    /// In this cell.
    #[default]
    Home,
    /// In another cell, which has delegated tasks of it to this one.
    Guest {
        /// Cell that has the job.
        home: CellNumber,
    },
}

impl JobPlace {
    /// Whether the job has its home in another cell.
    #[must_use]
    pub const fn is_guest(self) -> bool {
        matches!(self, Self::Guest { .. })
    }
}
