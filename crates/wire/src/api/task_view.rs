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
    /// The current state.
    pub state: TaskState,
    /// The number of the latest attempt; 0 before the first.
    pub attempt: AttemptNumber,
    /// The worker of the latest attempt, if any.
    pub worker: Option<WorkerName>,
    /// Work covered by the latest checkpoint, in milliseconds of run time.
    pub checkpoint_ms: u64,
    /// Why the task is in this state, if known, for the operator to read.
    pub reason: Option<String>,
}
