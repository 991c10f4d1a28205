//! The phase of a task that will never run again.

use serde::Deserialize;
use serde::Serialize;

use crate::state::TaskOutcome;
use sapphirestile_core::AttemptNumber;

/// The task has ended for good.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedPhase {
    /// The latest attempt.
    pub attempt: AttemptNumber,
    /// How the task ended.
    pub outcome: TaskOutcome,
}
