//! Phase of a task that never runs again.

use serde::Deserialize;
use serde::Serialize;

use crate::state::TaskOutcome;
use sapphirestile_core::AttemptNumber;

/// The task has ended and gets no further attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedPhase {
    /// The latest attempt; 0 when the task never ran.
    pub attempt: AttemptNumber,
    /// How the task ended.
    pub outcome: TaskOutcome,
}
