//! The place of a job among those that wait.

use crate::order::JobIdentity;
use crate::order::JobOrder;

/// The place of a job among those that wait: by priority, then by age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitKey {
    /// The priority; 0 comes first.
    pub priority: u32,
    /// When it was taken, in milliseconds of the Unix epoch.
    pub accepted_unix_ms: u64,
    /// The job.
    pub job: JobIdentity,
}

impl WaitKey {
    /// The place of a job with a priority.
    pub const fn of(job: JobIdentity, order: &JobOrder, priority: u32) -> Self {
        Self {
            priority,
            accepted_unix_ms: order.accepted_unix_ms,
            job,
        }
    }
}
