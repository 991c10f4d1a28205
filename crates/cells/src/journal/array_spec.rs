//! Submitted batch jobs.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::ZoneName;

/// A batch job as it was submitted: an array of like tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArraySpec {
    /// The job's name; makes a repeated submission idempotent.
    pub job: JobName,
    /// The customer whose quota the tasks count against.
    pub customer: CustomerName,
    /// Number of tasks, from 1 to [`crate::TASKS_MAX`].
    pub tasks: u32,
    /// The declared size of each task.
    pub size: ResourceSize,
    /// The declared run time of each task, in milliseconds.
    pub run_ms: u64,
    /// Whether it goes ahead of the backlog and may evict tasks of it.
    pub urgent: bool,
    /// The zones that it may run in; empty for every zone.
    pub zones: Vec<ZoneName>,
}
