//! A job as it is submitted.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::ZoneName;

/// Body of `POST /v1/jobs`. The same submission twice is one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSubmission {
    /// Its name, unique.
    pub job: JobName,
    /// The customer that it counts for.
    pub customer: CustomerName,
    /// How many tasks it has.
    pub tasks: u32,
    /// The declared size of each task.
    pub size: ResourceSize,
    /// The declared run time of each task, in milliseconds.
    pub run_ms: u64,
    /// Whether it goes ahead of the backlog.
    #[serde(default)]
    pub urgent: bool,
    /// The zones that it may run in; every zone when there is no list.
    #[serde(default)]
    pub zones: Option<Vec<ZoneName>>,
}
