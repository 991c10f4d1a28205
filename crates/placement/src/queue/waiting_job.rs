//! A job with tasks that wait for a worker.

use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskIndex;
use sapphirestile_core::ZoneName;

/// A job and its waiting tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingJob {
    /// The job's name, unique in the queue.
    pub name: JobName,
    /// The customer whose quota its tasks use.
    pub customer: CustomerName,
    /// Whether it is placed ahead of all jobs that are not urgent.
    pub urgent: bool,
    /// The declared size of each task.
    pub declared: ResourceSize,
    /// The zones that it may run in, sorted; empty for any zone.
    pub zones: Vec<ZoneName>,
    /// When it was submitted.
    pub submitted: MonoTime,
    /// The earliest time at which its tasks may start.
    pub not_before: MonoTime,
    /// The waiting tasks; the last one is placed first.
    pub tasks: Vec<TaskIndex>,
}
