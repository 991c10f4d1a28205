//! Commits of the owners.

/// A commit of an owner, which the store applies as a whole. `number` is that of the run or
/// of the transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TransferCommit {
    /// The task has a run.
    Assign {
        /// Number of the run.
        number: u8,
    },
    /// The task goes to the other cell.
    Transfer {
        /// Number of the transfer.
        number: u8,
    },
    /// The record of the cell says that the task is in the other one; only in a mutation.
    RecordTransfer {
        /// Number of the transfer.
        number: u8,
    },
    /// The other cell is to end the task.
    Revoke,
    /// The job has ended.
    End,
}
