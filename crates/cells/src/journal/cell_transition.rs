//! One change of a cell's state.

use serde::Deserialize;
use serde::Serialize;

use crate::journal::JobOrder;
use crate::shares::ShareCounter;
use crate::state::RequestRecord;
use crate::state::TaskOutcome;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::RequestKey;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// One change of a cell's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CellTransition {
    /// A job was submitted.
    JobSubmitted(JobOrder),
    /// A job was cancelled: what waits ends, what runs is stopped.
    JobCancelled(JobName),
    /// A task was assigned to a worker as a new attempt.
    TaskAssigned {
        /// The task.
        task: TaskName,
        /// The new attempt.
        attempt: AttemptNumber,
        /// The worker.
        worker: WorkerName,
        /// The room that it is given there.
        size: ResourceSize,
    },
    /// An attempt took a checkpoint.
    TaskCheckpointed {
        /// The task.
        task: TaskName,
        /// The attempt.
        attempt: AttemptNumber,
        /// Work covered by the checkpoint, in milliseconds of run time.
        checkpoint_ms: u64,
    },
    /// An attempt is proven not to run, and the task waits again.
    TaskReturned {
        /// The task.
        task: TaskName,
        /// The attempt.
        attempt: AttemptNumber,
        /// Work covered by the latest checkpoint, in milliseconds of run time.
        checkpoint_ms: u64,
        /// Whether the attempt ended by an error of its own.
        failed: bool,
    },
    /// An attempt ended for good.
    TaskEnded {
        /// The task.
        task: TaskName,
        /// The attempt.
        attempt: AttemptNumber,
        /// How it ended.
        outcome: TaskOutcome,
    },
    /// A request that must not run twice is about to be sent.
    RequestRecorded {
        /// The key that the caller gave.
        key: RequestKey,
        /// Who sends it, and when it was recorded.
        record: RequestRecord,
    },
    /// A recorded request was not sent after all, or not run; its key is free.
    RequestWithdrawn(RequestKey),
    /// A job that has ended is shown no more, and its name is free again.
    JobForgotten(JobName),
    /// This cell lends a share of a customer's quota to another.
    ShareLent {
        /// The customer.
        customer: CustomerName,
        /// The cell that borrows.
        borrower: CellNumber,
        /// All that was lent to it so far.
        total: ShareCounter,
    },
    /// A borrower has returned a share to this cell.
    ShareRegained {
        /// The customer.
        customer: CustomerName,
        /// The cell that borrowed.
        borrower: CellNumber,
        /// All that it has returned so far.
        total: ShareCounter,
    },
    /// This cell has learnt what was lent to it.
    ShareBorrowed {
        /// The customer.
        customer: CustomerName,
        /// All that was lent to it so far.
        total: ShareCounter,
    },
    /// This cell returns a share of a customer's quota to its lender.
    ShareReturned {
        /// The customer.
        customer: CustomerName,
        /// All that it has returned so far.
        total: ShareCounter,
    },
    /// Requests recorded before this second of the Unix epoch may be sent again.
    RecordsForgotten {
        /// The second.
        before_unix_s: u64,
    },
}
