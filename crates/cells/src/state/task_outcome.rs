//! Outcomes of tasks.

use serde::Deserialize;
use serde::Serialize;

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// Completed all its work.
    Finished,
    /// Failed as often as allowed, or its job was judged faulty.
    Failed,
    /// Its job was cancelled.
    Cancelled,
}
