//! The place of a job in the queue.

use crate::WaitingJob;
use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;

/// Urgent jobs first, then by customer, then by age.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    /// Whether the job is of the backlog; urgent jobs sort first.
    pub backlog: bool,
    /// The job's customer.
    pub customer: CustomerName,
    /// When the job came.
    pub submitted: MonoTime,
    /// The job.
    pub name: JobName,
}

impl OrderKey {
    /// The key of `job`.
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
