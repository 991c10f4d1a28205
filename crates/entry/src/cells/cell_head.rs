//! The ownership row of a cell, as last read.

use sapphirestile_core::MonoTime;

use crate::store::OwnershipRow;

/// An owner that has not written its row for this long is not given new jobs, in
/// milliseconds.
const SILENT_OWNER_MS: u64 = 1_600;

/// The ownership row of a cell, as last read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellHead {
    /// The contents of the row.
    pub row: OwnershipRow,
    /// The revision of the row in the store.
    pub revision: u64,
    /// When this revision was first read.
    pub changed: MonoTime,
}

impl CellHead {
    /// Whether the cell seems to have an owner.
    #[must_use]
    pub const fn is_owned(&self, now: MonoTime) -> bool {
        !self.row.is_released && now.millis_since(self.changed) <= SILENT_OWNER_MS
    }
}
