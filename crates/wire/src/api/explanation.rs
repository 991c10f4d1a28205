//! An explanation of the state of a job or task.

use serde::Deserialize;
use serde::Serialize;

/// Response to `GET /v1/explain/{job}` and `GET /v1/explain/{job}/{index}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The job's name, or the task as `job/index`.
    pub subject: String,
    /// The decisions that led to the state, oldest first.
    pub lines: Vec<String>,
}
