//! A job with its tasks.

use serde::Deserialize;
use serde::Serialize;

use crate::api::JobState;
use crate::api::JobSubmission;
use crate::api::TaskView;
use sapphirestile_core::CellNumber;

/// Response to `GET /v1/jobs/{job}`, `POST /v1/jobs` and `POST /v1/jobs/{job}/cancel`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job as it was submitted.
    pub submission: JobSubmission,
    /// The cell that schedules the job.
    pub cell: CellNumber,
    /// The state of the job as a whole.
    pub state: JobState,
    /// The tasks, in the order of their indexes.
    pub tasks: Vec<TaskView>,
}
