//! What a queue promised to a job.

use serde::Deserialize;
use serde::Serialize;

/// The terms of a queue when it took a job. They hold on when the queue goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueTerms {
    /// The service whose workers run the tasks.
    pub service: Box<str>,
    /// The priority; 0 comes first.
    pub priority: u32,
    /// How often a task may fail.
    pub attempts: u32,
}
