//! The row of the store that says who owns the jobs.

/// The row that each owner writes with its claim and with every batch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnershipRow {
    /// Epoch of the owner; 0 before the first claim.
    pub epoch: u64,
    /// Number of the write, which tells two writes of one owner apart.
    pub version: u64,
    /// Time of the write, in milliseconds.
    pub written: u64,
}
