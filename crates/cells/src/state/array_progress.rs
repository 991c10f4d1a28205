//! Jobs with their progress.

use serde::Deserialize;
use serde::Serialize;

use crate::journal::ArraySpec;

/// A job, an array of like tasks, with its progress, as stored in the cell's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArrayProgress {
    /// The job as submitted.
    // The JSON dump of a cell keeps the field name `order`.
    #[serde(rename = "order")]
    pub spec: ArraySpec,
    /// Whether the job was cancelled; its running tasks may not have stopped yet.
    pub cancelled: bool,
    /// Number of its tasks that have not ended; 0 when the job has ended.
    pub open_tasks: u32,
}
