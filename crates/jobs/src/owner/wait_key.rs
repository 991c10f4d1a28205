//! Key of the waiting list.

use crate::spec::JobIdentity;
use crate::spec::JobSpec;

/// Key of a job in the waiting list, which sorts by priority, then by age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitKey {
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Time of acceptance, in milliseconds of the Unix epoch.
    pub accepted_unix_ms: u64,
    /// Job with a task that can start.
    pub job: JobIdentity,
}

impl WaitKey {
    /// Creates the key of a job in a queue with the given priority.
    pub const fn of(job: JobIdentity, spec: &JobSpec, priority: u32) -> Self {
        Self {
            priority,
            accepted_unix_ms: spec.accepted_unix_ms,
            job,
        }
    }
}
