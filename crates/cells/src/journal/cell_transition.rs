//! Changes of a cell's state.

use serde::Deserialize;
use serde::Serialize;

use crate::journal::ArraySpec;
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

/// One change of a cell's state, replayed in journal order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CellTransition {
    /// A job was submitted.
    JobSubmitted(ArraySpec),
    /// A job was cancelled: its waiting tasks end, its running tasks are stopped.
    JobCancelled(JobName),
    /// A task was assigned to a worker as a new attempt.
    TaskAssigned {
        /// The task, which must be waiting.
        task: TaskName,
        /// The new attempt, later than every earlier attempt of the task.
        attempt: AttemptNumber,
        /// The worker that it is to run on.
        worker: WorkerName,
        /// The resources allocated to it on the worker.
        size: ResourceSize,
    },
    /// An attempt took a checkpoint.
    TaskCheckpointed {
        /// The task, which must be assigned.
        task: TaskName,
        /// The task's current attempt.
        attempt: AttemptNumber,
        /// Work covered by the checkpoint, in milliseconds of run time.
        checkpoint_ms: u64,
    },
    /// An attempt is proven not to run, and its task waits again.
    TaskReturned {
        /// The task, which must be assigned.
        task: TaskName,
        /// The task's current attempt.
        attempt: AttemptNumber,
        /// Work covered by the latest checkpoint, in milliseconds of run time.
        checkpoint_ms: u64,
        /// Whether the attempt failed on its own; counts towards the limit of failures.
        failed: bool,
    },
    /// A task ended; it gets no further attempt.
    TaskEnded {
        /// The task, which must be assigned.
        task: TaskName,
        /// The task's current attempt.
        attempt: AttemptNumber,
        /// How the task ended.
        outcome: TaskOutcome,
    },
    /// A non-idempotent request is about to be sent.
    RequestRecorded {
        /// The idempotency key that the caller gave.
        key: RequestKey,
        /// Who sends it, and when it was recorded.
        record: RequestRecord,
    },
    /// A recorded request was not sent or not run; its key may be used again.
    RequestWithdrawn(RequestKey),
    /// An ended job is dropped from the state; its name may be used again.
    JobForgotten(JobName),
    /// This cell lends a share of a customer's quota to another cell.
    ShareLent {
        /// The customer whose quota it is.
        customer: CustomerName,
        /// The cell that borrows.
        borrower: CellNumber,
        /// Total lent to the borrower so far.
        total: ShareCounter,
    },
    /// A borrower has returned a share to this cell.
    ShareRegained {
        /// The customer whose quota it is.
        customer: CustomerName,
        /// The cell that borrowed.
        borrower: CellNumber,
        /// Total returned by the borrower so far.
        total: ShareCounter,
    },
    /// The lender has lent this cell a share.
    ShareBorrowed {
        /// The customer whose quota it is.
        customer: CustomerName,
        /// Total lent to this cell so far.
        total: ShareCounter,
    },
    /// This cell returns a share of a customer's quota to its lender.
    ShareReturned {
        /// The customer whose quota it is.
        customer: CustomerName,
        /// Total returned by this cell so far.
        total: ShareCounter,
    },
    /// Drops the records of requests older than a time; those may be sent again.
    RecordsForgotten {
        /// Records made before this are dropped, in seconds of the Unix epoch.
        before_unix_s: u64,
    },
}
