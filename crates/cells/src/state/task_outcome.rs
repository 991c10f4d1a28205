//! How a task ended.

use serde::Deserialize;
use serde::Serialize;

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// It did all its work.
    Finished,
    /// It failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
}
