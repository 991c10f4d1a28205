//! A task of a job.

use serde::Deserialize;
use serde::Serialize;

use crate::api::TaskState;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskIndex;
use sapphirestile_core::WorkerName;

/// One task of a [`JobView`](crate::api::JobView).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskView {
    /// The index of the task in its job.
    pub index: TaskIndex,
    /// The state of the task.
    pub state: TaskState,
    /// The number of the latest attempt; 0 before the first.
    pub attempt: AttemptNumber,
    /// The worker that the task is assigned to; `None` while it waits and after it has ended.
    pub worker: Option<WorkerName>,
    /// Work covered by the latest checkpoint, in milliseconds of run time; 0 after the task
    /// has ended.
    pub checkpoint_ms: u64,
    /// Why the task waits or is throttled, for the operator to read; `None` otherwise or if
    /// not known.
    pub reason: Option<String>,
}
