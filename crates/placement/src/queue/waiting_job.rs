//! A job with tasks that wait for a worker.

use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskIndex;
use sapphirestile_core::ZoneName;

/// A job and those of its tasks that wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingJob {
    /// The job.
    pub name: JobName,
    /// The customer that pays for it.
    pub customer: CustomerName,
    /// Whether it goes ahead of the backlog.
    pub urgent: bool,
    /// The size that the customer declared for each task.
    pub declared: ResourceSize,
    /// The zones that it may run in, in order; empty for any.
    pub zones: Vec<ZoneName>,
    /// When it came.
    pub submitted: MonoTime,
    /// No task starts before this time.
    pub not_before: MonoTime,
    /// The tasks that wait; the last goes first.
    pub tasks: Vec<TaskIndex>,
}
