//! How many jobs wait in a queue.

use serde::Deserialize;
use serde::Serialize;

/// How many jobs of a queue have not begun.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueCount {
    /// The queue.
    pub queue: Box<str>,
    /// The jobs of which no task has started.
    pub waiting: u32,
}
