//! A job with its tasks.

use serde::Deserialize;
use serde::Serialize;

use crate::api::JobState;
use crate::api::JobSubmission;
use crate::api::TaskView;
use sapphirestile_core::CellNumber;

/// Answer of `GET /v1/jobs/{job}`, `POST /v1/jobs` and `POST /v1/jobs/{job}/cancel`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job as it was submitted.
    pub submission: JobSubmission,
    /// The cell that it belongs to.
    pub cell: CellNumber,
    /// How far it has come.
    pub state: JobState,
    /// Its tasks by index.
    pub tasks: Vec<TaskView>,
}
