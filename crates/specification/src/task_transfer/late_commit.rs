//! A commit of a former owner.

use crate::task_transfer::transfer_cell::TransferCell;
use crate::task_transfer::transfer_commit::TransferCommit;

/// A commit on its way to the store whose owner has been replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LateCommit {
    /// The cell of the former owner.
    pub cell: TransferCell,
    /// The epoch of the former owner.
    pub epoch: u8,
    /// The commit.
    pub commit: TransferCommit,
}
