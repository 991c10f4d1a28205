//! A submission under the name of another job.

use serde::Deserialize;
use serde::Serialize;

use crate::api::JobSubmission;

/// Status 409 for a submission: nothing was done, the name belongs to another submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobConflict {
    /// The submission that has the name.
    pub current: JobSubmission,
}
