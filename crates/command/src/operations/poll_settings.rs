//! Settings for watching a job.

use std::time::Duration;

/// How often [`watch_job`](crate::operations::watch_job()) reads a job, and how many
/// failed reads it tolerates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollSettings {
    /// The time between the end of one read and the start of the next.
    pub interval: Duration,
    /// How many reads in a row may fail because no daemon gives a valid response, or for
    /// a temporary reason. After one more, watching ends with the last error.
    pub consecutive_failures_max: u32,
}
