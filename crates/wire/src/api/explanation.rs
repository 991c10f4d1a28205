//! Why something is as it is.

use serde::Deserialize;
use serde::Serialize;

/// Answer of `GET /v1/explain/{job}` and `GET /v1/explain/{job}/{index}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// What is explained: a job, or a task as `job/index`.
    pub subject: String,
    /// The decisions behind it, the oldest first.
    pub lines: Vec<String>,
}
