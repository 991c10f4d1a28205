//! The ownership row as a daemon knows it.

use crate::ownership_row::OwnershipRow;

/// The latest write of the ownership row that a daemon has read.
#[derive(Clone, Copy, Debug)]
pub struct SeenRow {
    pub row: OwnershipRow,
    /// When the daemon first read this write, in milliseconds.
    pub at: u64,
}
