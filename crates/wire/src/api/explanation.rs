//! An explanation of the state of a job or task.

use serde::Deserialize;
use serde::Serialize;

/// Response to `GET /v1/explain/{job}` and `GET /v1/explain/{job}/{index}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The job's name, or the task as `job/index`.
    pub subject: String,
    /// The state of the job, its cell and its tasks, then the latest decisions that led to
    /// it, oldest first.
    pub lines: Vec<String>,
}
