//! How large a cell is.

/// How large a cell is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellSize {
    /// Its workers.
    pub workers: usize,
    /// Running tasks.
    pub running: u32,
    /// Waiting tasks.
    pub waiting: u32,
    /// Ended tasks that are not forgotten yet.
    pub ended: u32,
}
