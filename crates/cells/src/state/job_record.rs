//! What a cell keeps of a job.

use serde::Deserialize;
use serde::Serialize;

use crate::journal::JobOrder;

/// A job with its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as submitted.
    pub order: JobOrder,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// How many of its tasks have not ended.
    pub open_tasks: u32,
}
