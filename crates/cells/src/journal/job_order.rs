//! A batch job as it was submitted.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::ZoneName;

/// A batch job as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobOrder {
    /// The job's name, which makes a repeated submission harmless.
    pub job: JobName,
    /// Who submitted it.
    pub customer: CustomerName,
    /// How many tasks it has.
    pub tasks: u32,
    /// The declared size of each task.
    pub size: ResourceSize,
    /// The declared run time of each task, in milliseconds.
    pub run_ms: u64,
    /// Whether it goes ahead of the backlog.
    pub urgent: bool,
    /// The zones that it may run in; none means every zone.
    pub zones: Vec<ZoneName>,
}
