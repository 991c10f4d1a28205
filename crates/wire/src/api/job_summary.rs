//! A job without its tasks.

use serde::Deserialize;
use serde::Serialize;

use crate::api::JobState;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;

/// One job in the response to `GET /v1/jobs`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// The job's name.
    pub job: JobName,
    /// The customer whose quota the job uses.
    pub customer: CustomerName,
    /// The cell that schedules the job.
    pub cell: CellNumber,
    /// The state of the job as a whole.
    pub state: JobState,
    /// Whether the job is scheduled ahead of jobs that are not urgent.
    pub urgent: bool,
    /// The number of tasks.
    pub tasks: u32,
    /// The number of tasks that are running.
    pub running: u32,
    /// The number of tasks that completed.
    pub finished: u32,
    /// The number of tasks that ended without completing.
    pub failed: u32,
}
