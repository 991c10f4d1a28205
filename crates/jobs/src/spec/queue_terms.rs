//! Terms under which a queue accepts a job.

use serde::Deserialize;
use serde::Serialize;

/// Terms of a queue at the time when it accepted a job. They remain valid for the job
/// when the queue is removed from the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueTerms {
    /// Service whose workers run the tasks.
    pub service: Box<str>,
    /// Scheduling priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed attempts of a task at which its job fails.
    pub attempts: u32,
}
