//! Number of waiting jobs in a queue.

use serde::Deserialize;
use serde::Serialize;

/// Number of jobs in a queue that have not started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueCount {
    /// Name of the queue.
    pub queue: Box<str>,
    /// Number of jobs of which no task has started.
    pub waiting: u32,
}
