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
    /// Its place in the job.
    pub index: TaskIndex,
    /// How far it has come.
    pub state: TaskState,
    /// Its latest attempt; 0 before the first.
    pub attempt: AttemptNumber,
    /// The worker of the latest attempt.
    pub worker: Option<WorkerName>,
    /// Work covered by its latest checkpoint, in milliseconds of run time.
    pub checkpoint_ms: u64,
    /// Why it is in this state, in words.
    pub reason: Option<String>,
}
