//! The owner of one cell.

use crate::task_transfer::task_view::TaskView;
use crate::task_transfer::transfer_commit::TransferCommit;

/// The owner of one cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferOwner {
    /// Epoch of the claim.
    pub epoch: u8,
    /// Where the task is.
    pub view: TaskView,
    /// Highest number of a run or transfer that the owner knows.
    pub number: u8,
    /// Commit on its way to the store.
    pub sent: Option<TransferCommit>,
    /// Number in the row that the owner has read and not handled.
    pub read_row: Option<u8>,
    /// Whether the job has ended for the owner, though the store may not say so.
    pub has_learnt_end: bool,
    /// Whether the other cell has been told to end the task.
    pub has_revoked: bool,
    /// Whether the first of the two commits of a transfer is stored; only in mutations.
    pub is_half_transferred: bool,
}
