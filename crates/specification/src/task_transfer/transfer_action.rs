//! Steps of the transfer protocol.

use crate::task_transfer::transfer_cell::TransferCell;

/// A step of an owner, the store, a worker or a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferAction {
    /// The caller cancels the job, at its home.
    Cancel,
    /// Another daemon claims the cell.
    Claim(TransferCell),
    /// The run of the task in the cell ends.
    EndRun(TransferCell),
    /// The owner gives the task to a worker and sends the commit that says so.
    Assign(TransferCell),
    /// The owner sends the commit that gives the task to the other cell.
    SendTransfer(TransferCell),
    /// The store applies or refuses the commit of the owner.
    ProcessCommit(TransferCell),
    /// The store applies or refuses a commit of a former owner.
    ProcessLateCommit,
    /// The owner reads the row by which the other cell gives it the task.
    ReadRow(TransferCell),
    /// The owner handles the row that it has read, which may be gone.
    HandleRow(TransferCell),
    /// The owner learns that the job was cancelled or revoked, and stops its run.
    LearnEnd(TransferCell),
    /// The owner sends the next commit by which it ends the job.
    SendEnd(TransferCell),
}
