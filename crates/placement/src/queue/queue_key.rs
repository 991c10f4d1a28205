//! Sort key of a waiting job.

use crate::WaitingJob;
use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;

/// Sorts urgent jobs first, then by customer, then by submission time.
///
/// The order of the fields is the order of comparison.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Whether the job is not urgent; `false` sorts first.
    pub backlog: bool,
    /// The customer that submitted the job.
    pub customer: CustomerName,
    /// When the job was submitted.
    pub submitted: MonoTime,
    /// The job's name, which makes the key unique.
    pub name: JobName,
}

impl QueueKey {
    /// Creates the key of `job`.
    #[must_use]
    pub fn of(job: &WaitingJob) -> Self {
        Self {
            backlog: !job.urgent,
            customer: job.customer.clone(),
            submitted: job.submitted,
            name: job.name.clone(),
        }
    }
}
