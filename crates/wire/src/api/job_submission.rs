//! A request to submit a job.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::ZoneName;

/// Body of `POST /v1/jobs`. Submitting is idempotent: repeating an identical submission
/// creates no second job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSubmission {
    /// The job's name, unique.
    pub job: JobName,
    /// The customer whose quota the job uses.
    pub customer: CustomerName,
    /// The number of tasks.
    pub tasks: u32,
    /// The declared size of each task.
    pub size: ResourceSize,
    /// The declared run time of each task, in milliseconds.
    pub run_ms: u64,
    /// Whether the job is scheduled ahead of jobs that are not urgent.
    #[serde(default)]
    pub urgent: bool,
    /// The zones that the tasks may run in; `None` allows every zone.
    #[serde(default)]
    pub zones: Option<Vec<ZoneName>>,
}
