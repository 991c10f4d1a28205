//! The response to a submission whose name is taken.

use serde::Deserialize;
use serde::Serialize;

use crate::api::JobSubmission;

/// Body of status 409: nothing was done because a different submission has the name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobConflict {
    /// The submission that uses the name.
    pub current: JobSubmission,
}
